import { checkConfig, type Config, type State } from '@tillerstair/state';

export interface Table {
  readonly state: State;
  readonly config: Config | undefined;
}

export const tableOf = (state: State, old: Table | undefined): Table => ({
  state,
  config:
    old && old.state.config?.digest === state.config?.digest
      ? old.config
      : state.config
        ? checkConfig(state.config.text).config
        : undefined,
});
