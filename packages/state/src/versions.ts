/** The order of cluster states: by term, then by version. The version of a node never decreases. */
import type { StateVersion } from './state.js';

/** Whether `version` is newer than `other`. */
export const isNewerVersion = (version: StateVersion, other: StateVersion): boolean =>
  version.term > other.term || (version.term === other.term && version.version > other.version);

/** Whether two versions are the same. */
export const isSameVersion = (version: StateVersion, other: StateVersion): boolean =>
  version.term === other.term && version.version === other.version;

/** Term and version of a state; without a state, a version that is older than any. */
export const versionOf = (state: StateVersion | undefined): StateVersion =>
  state ? { term: state.term, version: state.version } : { term: -1, version: 0 };
