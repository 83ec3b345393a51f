/**
 * The cluster state as a flat table, the form in which it is stored and published: keys `SECTION/ID` to the JSON text
 * of one entry. A diff is the set of changed keys and names the version that it starts from; it applies to no other
 * version.
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

/** JSON text of each entry, by its key. */
export type StateTable = ReadonlyMap<string, string>;

/** Entries of a table as they are sent and stored: pairs of key and JSON text. */
export const TableEntries = z.array(z.tuple([z.string(), z.string()]));

/** The changes that turn a state of the version `base` into one of the version `to`. */
export const StateDiff = z.object({
  base: StateVersion,
  to: StateVersion,
  set: TableEntries,
  drop: z.array(z.string()),
});
/** The changes that turn a state of the version `base` into one of the version `to`. */
export type StateDiff = z.infer<typeof StateDiff>;

/** A table that is not a valid state: its head is missing, or it has a section that this version does not know. */
export class InvalidStateError extends Error {}

/** The sections of a state that is being decoded; complete once every entry has been decoded. */
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

/** Encodes and decodes one part of the state. */
interface Section {
  readonly name: string;
  readonly encode: (state: State, put: PutEntry) => void;
  readonly decode: (draft: StateDraft, id: string, value: unknown) => void;
}

const headKey = 'head';
const configKey = 'config';

/** A configuration is large and changes rarely, so its JSON text is computed once per record. */
const configTexts = new WeakMap<ConfigRecord, string>();

const encodeConfig = (record: ConfigRecord): string => {
  const cached = configTexts.get(record);
  if (cached !== undefined) return cached;
  const text = JSON.stringify(record);
  configTexts.set(record, text);
  return text;
};

/** Creates a section that encodes each entry of a map as one entry. */
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

/** An earlier version stored other values here, which were not names. */
const RetiringName = z.string().catch('');

/** The sections other than the head, in encoding order. */
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

/** Encodes a state as a table. */
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
  if (!section) throw new InvalidStateError(`the state table has an unknown section: ${name}`);
  section.decode(draft, id, JSON.parse(json));
};

/** Decodes a table. Throws `InvalidStateError`, or `ZodError` if an entry violates its schema. */
export const decodeState = (table: StateTable): State => {
  const head = table.get(headKey);
  if (head === undefined) throw new InvalidStateError('the state table has no head entry');
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

/** Computes the changes that turn one state into another. */
export const diffStates = (base: State, next: State): StateDiff => {
  const from = encodeState(base);
  const to = encodeState(next);
  const set = [...to].filter(([key, json]) => from.get(key) !== json);
  const drop = [...from.keys()].filter((key) => !to.has(key));
  return { base: versionOf(base), to: versionOf(next), set, drop };
};

/** Applies a diff to a state; undefined if the diff starts from another version. */
export const applyDiff = (state: State, diff: StateDiff): State | undefined => {
  if (!isSameVersion(state, diff.base)) return undefined;
  const table = new Map(encodeState(state));
  const keepsConfig =
    !diff.drop.includes(configKey) && !diff.set.some(([key]) => key === configKey);
  // The current record is reused, since parsing it again would cost time at each publish.
  if (keepsConfig) table.delete(configKey);
  for (const key of diff.drop) table.delete(key);
  for (const [key, json] of diff.set) table.set(key, json);
  const next = decodeState(table);
  return keepsConfig ? { ...next, config: state.config } : next;
};
