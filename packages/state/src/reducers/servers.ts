/** Reducers for servers, their marks and their weights. */
import type {
  ServerAction,
  ServerRemovedAction,
  ServerMarkAction,
  WeightsAction,
} from '../action.js';
import type { State } from '../state.js';
import { withEntry, withoutEntry } from './entries.js';

/** Adds a server, or replaces the one with that id. */
export const reduceServer = (state: State, { server }: ServerAction): State => ({
  ...state,
  servers: withEntry(state.servers, server.id, server),
});

/** Removes a server; returns `state` itself if there is none with that id. */
export const reduceServerRemoved = (state: State, { id }: ServerRemovedAction): State =>
  state.servers.has(id) ? { ...state, servers: withoutEntry(state.servers, id) } : state;

/** Sets or clears the draining and down marks of a server; returns `state` itself if nothing changes. */
export const reduceServerMark = (state: State, action: ServerMarkAction): State => {
  const current = state.servers.get(action.id);
  if (!current) return state;
  const draining = action.draining ?? current.draining;
  const down = action.down ?? current.down;
  if (draining === current.draining && down === current.down) return state;
  return { ...state, servers: withEntry(state.servers, action.id, { ...current, draining, down }) };
};

/** Replaces all weights. */
export const reduceWeights = (state: State, { weights }: WeightsAction): State => ({
  ...state,
  weights,
});
