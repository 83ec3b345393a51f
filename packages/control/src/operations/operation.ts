/**
 * What an operation of the operators' interface is: where it is asked for, the schema of its body, the authority that
 * its answer needs, and its handler. The table of all of them is `operations.ts`.
 */
import type { IsLive, Member, State } from '@tillerstair/state';
import { toRpcError } from '@tillerstair/wire';
import type { MasterView } from '@tillerstair/zen';
import type { OperatorResponse } from '../messages.js';
import { NotFoundError, OperatorRequestError } from './errors.js';
import { failedChange, HttpStatus, refused, succeeded } from './responses.js';

/**
 * What an answer rests on. `none`: what the asked control knows by itself. `quorum-read`: a majority confirmed the
 * master after the request came. `commit`: a change is committed before it is acknowledged; a refusal is never committed,
 * a majority confirms the master before it is answered (`docs/control-safety.md`, section 1).
 *
 * It documents the operation and nothing reads it. What enforces it is the call that the handler makes on the master:
 * `MasterView.confirm` for `quorum-read`, `MasterView.submitConfirmed` for `commit`.
 */
type Authority = 'none' | 'quorum-read' | 'commit';

/** A path of the operators' interface, `/v1/SECTION/ID/VERB`; parts that are absent are empty. */
export interface OperatorPath {
  readonly version: string;
  readonly section: string;
  readonly id: string;
  readonly verb: string;
}

/** Takes a path apart. Throws `URIError` where the id is not encoded as URLs demand. */
export const parsePath = (path: string): OperatorPath => {
  const [, version = '', section = '', encodedId = '', verb = ''] = path.split('/');
  return { version, section, id: decodeURIComponent(encodedId), verb };
};

/** The body of a request after its schema, or the response that refuses it. */
type ParsedBody<Body> =
  | { readonly valid: true; readonly body: Body }
  | { readonly valid: false; readonly response: OperatorResponse };

/** Checks the text of a body. */
export type BodySchema<Body> = (text: string) => ParsedBody<Body>;

/** For operations that read no body; one that is sent is ignored. */
export const noBody: BodySchema<undefined> = () => ({ valid: true, body: undefined });

/** The JSON value of a text, or undefined where it is not JSON. */
export const jsonOf = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Where an operation is asked for. */
interface OperationAddress {
  readonly method: string;
  readonly matches: (path: OperatorPath) => boolean;
}

/** An operation with its body unread; the master carries it out. */
export interface Operation extends OperationAddress {
  readonly authority: Authority;
  readonly handle: (
    master: MasterView,
    path: OperatorPath,
    bodyText: string,
  ) => Promise<OperatorResponse>;
}

/** What a handler gets once the body has passed its schema. */
interface OperationCall<Body> {
  readonly master: MasterView;
  readonly id: string;
  readonly body: Body;
}

/** How an operation is written down: with the schema of its body beside its handler. */
export interface OperationDefinition<Body> extends OperationAddress {
  readonly authority: Authority;
  readonly schema: BodySchema<Body>;
  readonly handler: (call: OperationCall<Body>) => Promise<OperatorResponse>;
}

/** Makes an operation that applies its schema before its handler. */
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

/** A change of the state, and what the operator is shown of the state that was committed with it. */
export interface PlannedChange {
  readonly change: (state: State) => State;
  readonly view: (state: State) => unknown;
}

/** Commits a change; a refusal by the state is answered only after a majority has confirmed the master. */
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

/** Shows the state that a majority confirmed after the request came. */
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

/** As `readConfirmed`, with the nodes of these kinds that replied after the request came. */
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
