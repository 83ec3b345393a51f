import {
  compiledConfig,
  buildRouteTable,
  type Config,
  type RouteTable,
  type State,
} from '@tillerstair/state';

export interface Table {
  readonly state: State;
  readonly config: Config | undefined;
  readonly routes: RouteTable;
}

const noRoutes: RouteTable = new Map();

export const tableOf = (state: State, old: Table | undefined): Table => {
  if (old && old.state.config?.digest === state.config?.digest) return { ...old, state };
  const config = compiledConfig(state.config);
  return { state, config, routes: config ? buildRouteTable(config) : noRoutes };
};
