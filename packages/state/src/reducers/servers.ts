/** Servers, their marks and their weights. */
import type {
  ServerAction,
  ServerRemovedAction,
  ServerMarkAction,
  WeightsAction,
} from '../action.js';
import type { State } from '../state.js';
import { withEntry, withoutEntry } from './entries.js';

/** Adds a server, or replaces the one of that id. */
export const reduceServer = (state: State, { server }: ServerAction): State => ({
  ...state,
  servers: withEntry(state.servers, server.id, server),
});

/** Removes a server; the state itself where there is none of that id. */
export const reduceServerRemoved = (state: State, { id }: ServerRemovedAction): State =>
  state.servers.has(id) ? { ...state, servers: withoutEntry(state.servers, id) } : state;

/** Marks a server as draining or down, or no longer; the state itself where nothing changes. */
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
