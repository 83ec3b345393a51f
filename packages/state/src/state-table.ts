/**
 * The cluster state as a flat table of keys, in which it is kept on disk and published: `SECTION/ID` to the JSON text of
 * one entry. A diff is the set of changed keys and names the version that it starts from; it applies to no other.
 */
import { z } from 'zod';
import {
  ConfigRecord,
  Member,
  Server,
  Slot,
  StateHeader,
  StateVersion,
  type State,
} from './state.js';
import { isSameVersion, versionOf } from './versions.js';

/** The JSON text of each entry, by its key. */
export type StateTable = ReadonlyMap<string, string>;

/** Entries of a table as they are sent and stored: pairs of key and JSON text. */
export const TableEntries = z.array(z.tuple([z.string(), z.string()]));

/** What changes a state of the version `base` into one of the version `to`. */
export const StateDiff = z.object({
  base: StateVersion,
  to: StateVersion,
  set: TableEntries,
  drop: z.array(z.string()),
});
/** What changes a state of the version `base` into one of the version `to`. */
export type StateDiff = z.infer<typeof StateDiff>;

/** A table that is no state: its head is missing, or it has a section that this version does not know. */
export class InvalidStateError extends Error {}

/** The sections of a state while they are read; whole once every entry has been. */
interface StateDraft {
  readonly nodes: Map<string, Member>;
  readonly votingMembers: Map<string, Member>;
  readonly retiring: Map<string, string>;
  readonly slots: Slot[];
  readonly acceptedChanges: Map<number, string>;
  readonly servers: Map<string, Server>;
  readonly weights: Map<string, number>;
  config: ConfigRecord | undefined;
}

type PutEntry = (key: string, json: string) => void;

/** How one part of the state is written to the table and read from it. */
interface Section {
  readonly name: string;
  readonly encode: (state: State, put: PutEntry) => void;
  readonly decode: (draft: StateDraft, id: string, value: unknown) => void;
}

const headKey = 'head';
const configKey = 'config';

/** A configuration is large and stays for long, so its text is made once a record. */
const configTexts = new WeakMap<ConfigRecord, string>();

const encodeConfig = (record: ConfigRecord): string => {
  const known = configTexts.get(record);
  if (known !== undefined) return known;
  const text = JSON.stringify(record);
  configTexts.set(record, text);
  return text;
};

/** A section with one entry for each entry of a map. */
const mapSection = <Id, Value>(
  name: string,
  entriesOf: (state: State) => ReadonlyMap<Id, Value>,
  decode: Section['decode'],
): Section => ({
  name,
  encode: (state, put) => {
    for (const [id, value] of entriesOf(state)) put(`${name}/${String(id)}`, JSON.stringify(value));
  },
  decode,
});

/** An earlier version kept other values here, which named nobody. */
const RetiringName = z.string().catch('');

/** The sections beside the head, in the order in which they are written. */
const sections: readonly Section[] = [
  mapSection(
    'node',
    (state) => state.nodes,
    (draft, id, value) => draft.nodes.set(id, Member.parse(value)),
  ),
  mapSection(
    'voter',
    (state) => state.votingMembers,
    (draft, id, value) => draft.votingMembers.set(id, Member.parse(value)),
  ),
  mapSection(
    'retiring',
    (state) => state.retiring,
    (draft, id, value) => draft.retiring.set(id, RetiringName.parse(value)),
  ),
  {
    name: 'slot',
    encode: ({ slots }, put) => {
      slots.forEach((slot, index) => put(`slot/${index}`, JSON.stringify(slot)));
    },
    decode: (draft, id, value) => {
      draft.slots[Number(id)] = Slot.parse(value);
    },
  },
  {
    name: configKey,
    encode: ({ config }, put) => {
      if (config) put(configKey, encodeConfig(config));
    },
    decode: (draft, _id, value) => {
      draft.config = ConfigRecord.parse(value);
    },
  },
  mapSection(
    'taken',
    (state) => state.acceptedChanges,
    (draft, id, value) => draft.acceptedChanges.set(Number(id), z.string().parse(value)),
  ),
  mapSection(
    'server',
    (state) => state.servers,
    (draft, id, value) => draft.servers.set(id, Server.parse(value)),
  ),
  mapSection(
    'weight',
    (state) => state.weights,
    (draft, id, value) => draft.weights.set(id, z.number().parse(value)),
  ),
];

const sectionsByName: ReadonlyMap<string, Section> = new Map(
  sections.map((section) => [section.name, section]),
);

const headerOf = (state: State): StateHeader => ({
  clusterId: state.clusterId,
  term: state.term,
  version: state.version,
  master: state.master,
  voters: state.voters,
  replication: state.replication,
});

/** The table of a state. */
export const encodeState = (state: State): StateTable => {
  const table = new Map<string, string>();
  table.set(headKey, JSON.stringify(headerOf(state)));
  const put: PutEntry = (key, json) => {
    table.set(key, json);
  };
  for (const section of sections) section.encode(state, put);
  return table;
};

const decodeEntry = (draft: StateDraft, key: string, json: string): void => {
  const slash = key.indexOf('/');
  const name = slash < 0 ? key : key.slice(0, slash);
  const id = slash < 0 ? '' : key.slice(slash + 1);
  const section = sectionsByName.get(name);
  if (!section) throw new InvalidStateError(`unknown section ${name}`);
  section.decode(draft, id, JSON.parse(json));
};

/** The state of a table. Throws `InvalidStateError`, or `ZodError` where an entry breaks its schema. */
export const decodeState = (table: StateTable): State => {
  const head = table.get(headKey);
  if (head === undefined) throw new InvalidStateError('no head');
  const header = StateHeader.parse(JSON.parse(head));
  const draft: StateDraft = {
    nodes: new Map(),
    votingMembers: new Map(),
    retiring: new Map(),
    slots: [],
    acceptedChanges: new Map(),
    servers: new Map(),
    weights: new Map(),
    config: undefined,
  };
  for (const [key, json] of table) if (key !== headKey) decodeEntry(draft, key, json);
  return { ...header, ...draft };
};

/** What changes one state into another. */
export const diffStates = (base: State, next: State): StateDiff => {
  const from = encodeState(base);
  const to = encodeState(next);
  const set = [...to].filter(([key, json]) => from.get(key) !== json);
  const drop = [...from.keys()].filter((key) => !to.has(key));
  return { base: versionOf(base), to: versionOf(next), set, drop };
};

/** The state that a diff makes of this one; undefined where it starts from another version. */
export const applyDiff = (state: State, diff: StateDiff): State | undefined => {
  if (!isSameVersion(state, diff.base)) return undefined;
  const table = new Map(encodeState(state));
  const keepsConfig =
    !diff.drop.includes(configKey) && !diff.set.some(([key]) => key === configKey);
  // The record in place is taken over as it is: parsing it again would cost time at each publish.
  if (keepsConfig) table.delete(configKey);
  for (const key of diff.drop) table.delete(key);
  for (const [key, json] of diff.set) table.set(key, json);
  const next = decodeState(table);
  return keepsConfig ? { ...next, config: state.config } : next;
};
