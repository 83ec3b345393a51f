/** Operations on servers that operators register by hand: adding, draining and removing one. */
import { z } from 'zod';
import { reduceState, type Server, type State } from '@tillerstair/state';
import { NotFoundError } from './errors.js';
import {
  commitChange,
  defineOperation,
  parseJson,
  noBody,
  type BodySchema,
  type Operation,
  type OperatorPath,
  type PlannedChange,
} from './operation.js';
import { HttpStatus, refused } from './responses.js';

const NewServer = z.strictObject({
  pool: z.string().min(1),
  url: z.string().regex(/^http:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d+$/, {
    error: 'must be http://IP:PORT',
  }),
});
type NewServer = z.infer<typeof NewServer>;

const newServerSchema: BodySchema<NewServer> = (text) => {
  const value = parseJson(text);
  if (value === undefined) {
    const response = refused(HttpStatus.badRequest, 'bad-json', 'the body is not JSON');
    return { valid: false, response };
  }
  const parsed = NewServer.safeParse(value);
  if (parsed.success) return { valid: true, body: parsed.data };
  const findings = parsed.error.issues.map((issue) => ({
    place: issue.path.join('.'),
    text: issue.message,
  }));
  return {
    valid: false,
    response: refused(HttpStatus.unprocessable, 'findings', 'invalid server', { findings }),
  };
};

const viewServer =
  (id: string) =>
  (state: State): Server | undefined =>
    state.servers.get(id);

const addServer = (id: string, newServer: NewServer): PlannedChange => {
  const server: Server = { id, ...newServer, draining: false, down: false, zone: '', places: 0 };
  return {
    change: (state) => reduceState(state, { kind: 'server', server }),
    view: viewServer(id),
  };
};

const drainServer = (id: string): PlannedChange => ({
  change: (state) => {
    if (!state.servers.has(id)) throw new NotFoundError(`no server ${id}`);
    return reduceState(state, { kind: 'server-mark', id, draining: true });
  },
  view: viewServer(id),
});

const removeServer = (id: string): PlannedChange => ({
  change: (state) => reduceState(state, { kind: 'server-removed', id }),
  view: () => ({ id, gone: true }),
});

const isServer = ({ section, id, verb }: OperatorPath): boolean =>
  section === 'servers' && id !== '' && verb === '';
const isServerDraining = ({ section, id, verb }: OperatorPath): boolean =>
  section === 'servers' && id !== '' && verb === 'draining';

/** Operations of `/v1/servers/ID` and `/v1/servers/ID/draining`. */
export const serverOperations: readonly Operation[] = [
  defineOperation({
    method: 'PUT',
    matches: isServer,
    authority: 'commit',
    schema: newServerSchema,
    handler: ({ master, id, body }) => commitChange(master, addServer(id, body)),
  }),
  defineOperation({
    method: 'POST',
    matches: isServerDraining,
    authority: 'commit',
    schema: noBody,
    handler: ({ master, id }) => commitChange(master, drainServer(id)),
  }),
  defineOperation({
    method: 'DELETE',
    matches: isServer,
    authority: 'commit',
    schema: noBody,
    handler: ({ master, id }) => commitChange(master, removeServer(id)),
  }),
];
