/** The order of cluster states: by term, then by version. On no node does it ever go back. */
import type { StateVersion } from './state.js';

/** Whether `version` is above `other`. */
export const isNewerVersion = (version: StateVersion, other: StateVersion): boolean =>
  version.term > other.term || (version.term === other.term && version.version > other.version);

/** Whether two versions are the same. */
export const isSameVersion = (version: StateVersion, other: StateVersion): boolean =>
  version.term === other.term && version.version === other.version;

/** Term and version of a state alone; below every state's where there is none. */
export const versionOf = (state: StateVersion | undefined): StateVersion =>
  state ? { term: state.term, version: state.version } : { term: -1, version: 0 };
