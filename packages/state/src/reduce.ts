/**
 * The reducer of the cluster state. Only the master reduces; the result is published with the next version. An action
 * that is outdated, or that changes nothing, returns the given state itself.
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

/** Applies an action; term and version are set by the caller that publishes the state. */
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
