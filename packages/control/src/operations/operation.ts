/**
 * An operation of the operators' interface: its method and path, the schema of its body, the authority that its
 * response needs, and its handler. The table of all operations is in `operations.ts`.
 */
import type { IsLive, Member, State } from '@tillerstair/state';
import { toRpcError } from '@tillerstair/wire';
import type { MasterView } from '@tillerstair/zen';
import type { OperatorResponse } from '../messages.js';
import { NotFoundError, OperatorRequestError } from './errors.js';
import { failedChange, HttpStatus, refused, succeeded } from './responses.js';

/**
 * What a response is based on. `none`: the local knowledge of the control. `quorum-read`: a majority confirmed the
 * master after the request arrived. `commit`: a change is committed before it is acknowledged; a refusal is never
 * committed, but a majority confirms the master before it is sent (`docs/control-safety.md`, section 1).
 *
 * This is documentation only; no code reads it. It is enforced by the call that the handler makes on the master:
 * `MasterView.confirm` for `quorum-read`, `MasterView.submitConfirmed` for `commit`.
 */
type Authority = 'none' | 'quorum-read' | 'commit';

/** A path of the operators' interface, `/v1/SECTION/ID/VERB`; missing parts are empty. */
export interface OperatorPath {
  readonly version: string;
  readonly section: string;
  readonly id: string;
  readonly verb: string;
}

/** Parses a path. Throws `URIError` if the id is not valid percent-encoding. */
export const parsePath = (path: string): OperatorPath => {
  const [, version = '', section = '', encodedId = '', verb = ''] = path.split('/');
  return { version, section, id: decodeURIComponent(encodedId), verb };
};

/** A body that satisfies its schema, or the response that refuses it. */
type ParsedBody<Body> =
  | { readonly valid: true; readonly body: Body }
  | { readonly valid: false; readonly response: OperatorResponse };

/** Parses and validates the text of a body. */
export type BodySchema<Body> = (text: string) => ParsedBody<Body>;

/** Schema of operations without a body; a body that is sent is ignored. */
export const noBody: BodySchema<undefined> = () => ({ valid: true, body: undefined });

/** Parses JSON; undefined if the text is not JSON. */
export const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** The method and path of an operation. */
interface OperationAddress {
  readonly method: string;
  readonly matches: (path: OperatorPath) => boolean;
}

/** An operation that takes the unparsed body; the master executes it. */
export interface Operation extends OperationAddress {
  readonly authority: Authority;
  readonly handle: (
    master: MasterView,
    path: OperatorPath,
    bodyText: string,
  ) => Promise<OperatorResponse>;
}

/** Arguments of a handler, with the body validated. */
interface OperationCall<Body> {
  readonly master: MasterView;
  readonly id: string;
  readonly body: Body;
}

/** Definition of an operation: a handler, and the schema that validates its body. */
export interface OperationDefinition<Body> extends OperationAddress {
  readonly authority: Authority;
  readonly schema: BodySchema<Body>;
  readonly handler: (call: OperationCall<Body>) => Promise<OperatorResponse>;
}

/** Creates an operation that applies its schema before its handler. */
export const defineOperation = <Body>(definition: OperationDefinition<Body>): Operation => ({
  method: definition.method,
  matches: definition.matches,
  authority: definition.authority,
  handle: (master, path, bodyText) => {
    const parsed = definition.schema(bodyText);
    return parsed.valid
      ? definition.handler({ master, id: path.id, body: parsed.body })
      : Promise.resolve(parsed.response);
  },
});

/** A change of the state, and the view of the committed state that the operator receives. */
export interface PlannedChange {
  readonly change: (state: State) => State;
  readonly view: (state: State) => unknown;
}

/** Commits a change. If the state forbids it, the refusal is sent only after a majority has confirmed the master. */
export const commitChange = async (
  master: MasterView,
  { change, view }: PlannedChange,
): Promise<OperatorResponse> => {
  try {
    const { state } = await master.submitConfirmed(change);
    return succeeded(view(state));
  } catch (error) {
    if (error instanceof OperatorRequestError) return error.toResponse();
    return failedChange(error, 'GET /v1/status');
  }
};

/** Responds with a view of the state that a majority confirmed after the request arrived. */
export const readConfirmed = async (
  master: MasterView,
  view: (state: State) => unknown,
): Promise<OperatorResponse> => {
  try {
    return succeeded(await view(await master.confirm()));
  } catch (error) {
    if (error instanceof NotFoundError) return error.toResponse();
    return refused(HttpStatus.unavailable, 'unavailable', toRpcError(error).message);
  }
};

/**
 * Like `readConfirmed`; `isLive` names the nodes of these kinds that replied to a ping sent after the request arrived.
 */
export const readWithLiveNodes = async (
  master: MasterView,
  kinds: readonly Member['kind'][],
  view: (state: State, isLive: IsLive) => unknown,
): Promise<OperatorResponse> => {
  const members = [...(master.committed?.nodes.values() ?? [])];
  const replies = master.pingPeers(members.filter((member) => kinds.includes(member.kind)));
  return readConfirmed(master, async (state) => {
    const replied = await replies;
    return view(state, (id) => replied.has(id));
  });
};
