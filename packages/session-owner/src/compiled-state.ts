/** The committed state with its compiled configuration and routes, recompiled only when the configuration changes. */
import {
  compiledConfig,
  buildRouteTable,
  type Config,
  type RouteTable,
  type State,
} from '@tillerstair/state';

/** A committed state, its compiled configuration and that configuration's routes. */
export interface CompiledState {
  readonly state: State;
  /** Undefined before the first configuration is committed. */
  readonly config: Config | undefined;
  readonly routes: RouteTable;
}

const noRoutes: RouteTable = new Map();

/** Compiles a state; reuses the configuration and routes of `previous` if the configuration is unchanged. */
export const compileState = (state: State, previous: CompiledState | undefined): CompiledState => {
  if (previous && previous.state.config?.digest === state.config?.digest)
    return { ...previous, state };
  const config = compiledConfig(state.config);
  return { state, config, routes: config ? buildRouteTable(config) : noRoutes };
};
