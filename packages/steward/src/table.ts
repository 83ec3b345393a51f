import { compiledOf, lanesOf, type Config, type Lanes, type State } from '@tillerstair/state';

export interface Table {
  readonly state: State;
  readonly config: Config | undefined;
  readonly lanes: Lanes;
}

const noLanes: Lanes = new Map();

export const tableOf = (state: State, old: Table | undefined): Table => {
  if (old && old.state.config?.digest === state.config?.digest) return { ...old, state };
  const config = compiledOf(state.config);
  return { state, config, lanes: config ? lanesOf(config) : noLanes };
};
