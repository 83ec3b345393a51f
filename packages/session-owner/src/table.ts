import { compiledOf, routesOf, type Config, type Routes, type State } from '@tillerstair/state';

export interface Table {
  readonly state: State;
  readonly config: Config | undefined;
  readonly routes: Routes;
}

const noRoutes: Routes = new Map();

export const tableOf = (state: State, old: Table | undefined): Table => {
  if (old && old.state.config?.digest === state.config?.digest) return { ...old, state };
  const config = compiledOf(state.config);
  return { state, config, routes: config ? routesOf(config) : noRoutes };
};
