/**
 * The reducer of the cluster state. Only the master reduces; what it returns is published with the next version. An
 * action that the state has overtaken, or that alters nothing, returns the very state it was given.
 */
import type { StateAction } from './action.js';
import { reduceConfig } from './reducers/configuration.js';
import { reduceJoin, reduceLeave } from './reducers/members.js';
import { reduceRetire } from './reducers/retiring.js';
import {
  reduceServer,
  reduceServerRemoved,
  reduceServerMark,
  reduceWeights,
} from './reducers/servers.js';
import { reduceFilled, reduceTransferred } from './reducers/slots.js';
import { reduceVoters } from './reducers/voters.js';
import type { State } from './state.js';

/** The state after an action; term and version are left to whoever publishes it. */
export const reduceState = (state: State, action: StateAction): State => {
  switch (action.kind) {
    case 'join':
      return reduceJoin(state, action);
    case 'leave':
      return reduceLeave(state, action);
    case 'config':
      return reduceConfig(state, action);
    case 'server':
      return reduceServer(state, action);
    case 'server-removed':
      return reduceServerRemoved(state, action);
    case 'server-mark':
      return reduceServerMark(state, action);
    case 'voters':
      return reduceVoters(state, action);
    case 'filled':
      return reduceFilled(state, action);
    case 'transferred':
      return reduceTransferred(state, action);
    case 'retire':
      return reduceRetire(state, action);
    case 'weights':
      return reduceWeights(state, action);
  }
};
