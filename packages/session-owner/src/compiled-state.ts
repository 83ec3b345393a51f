/** The committed state with what follows from its configuration; compiled anew only when the configuration changes. */
import {
  compiledConfig,
  buildRouteTable,
  type Config,
  type RouteTable,
  type State,
} from '@tillerstair/state';

/** A committed state, its configuration and the routes of that. */
export interface CompiledState {
  readonly state: State;
  /** Undefined before the first configuration change. */
  readonly config: Config | undefined;
  readonly routes: RouteTable;
}

const noRoutes: RouteTable = new Map();

/** Compiles a state; `old` is taken over where the configuration is the same. */
export const compileState = (state: State, old: CompiledState | undefined): CompiledState => {
  if (old && old.state.config?.digest === state.config?.digest) return { ...old, state };
  const config = compiledConfig(state.config);
  return { state, config, routes: config ? buildRouteTable(config) : noRoutes };
};
