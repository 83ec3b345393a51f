/** Operations on the configuration: replacing it, reading it, and preparing a change that is derived from it. */
import { z } from 'zod';
import {
  changeIdOf,
  checkConfig,
  configDigest,
  reduceState,
  type Config,
  type ConfigRecord,
  type State,
} from '@tillerstair/state';
import type { MasterView } from '@tillerstair/zen';
import type { OperatorResponse } from '../messages.js';
import { wasAccepted, type ChangeIdentity } from './accepted-change.js';
import { NotFoundError, OperatorRequestError } from './errors.js';
import {
  defineOperation,
  parseJson,
  noBody,
  readConfirmed,
  type BodySchema,
  type Operation,
} from './operation.js';
import { failedChange, HttpStatus, refused, succeeded } from './responses.js';

const noConfiguration = 'the cluster has no configuration yet';

interface ConfigurationFile {
  readonly text: string;
  readonly config: Config;
}

const configurationSchema: BodySchema<ConfigurationFile> = (text) => {
  const { config, findings } = checkConfig(text);
  if (config) return { valid: true, body: { text, config } };
  const response = refused(HttpStatus.unprocessable, 'findings', `${findings.length} findings`, {
    findings,
  });
  return { valid: false, response };
};

/** Builds the record of a file. `origin` is left out of the compiled form, since only its sender needs it. */
const toConfigRecord = ({ text, config }: ConfigurationFile): ConfigRecord => ({
  version: config.version ?? config.base + 1,
  text,
  digest: configDigest(text),
  compiled: JSON.stringify({ ...config, origin: undefined }),
  changeId: config.changeId ?? '',
});

const putConfiguration = async (
  master: MasterView,
  file: ConfigurationFile,
): Promise<OperatorResponse> => {
  const record = toConfigRecord(file);
  const { version, digest } = record;
  const identity = { base: file.config.base, version, changeId: changeIdOf(record) };
  try {
    const committed = await master.submitConfirmed((state) =>
      wasAccepted(state, identity) ? state : reduceState(state, { kind: 'config', record }),
    );
    await master.waitUntilInForce(committed);
    const newest = committed.state.config?.version ?? 0;
    return succeeded(newest === version ? { version, digest } : { version, digest, newest });
  } catch (error) {
    if (error instanceof OperatorRequestError) return error.toResponse();
    const how = 'GET /v1/config and compare the digest, or PUT the same file again';
    return failedChange(error, how, { digest });
  }
};

const PreparedChange = z.strictObject({
  base: z.number(),
  version: z.number(),
  changeId: z.string().min(1),
});

const preparedChangeSchema: BodySchema<ChangeIdentity> = (text) => {
  const parsed = PreparedChange.safeParse(parseJson(text));
  return parsed.success
    ? { valid: true, body: parsed.data }
    : {
        valid: false,
        response: refused(
          HttpStatus.unprocessable,
          'findings',
          'base, version and changeId are required',
        ),
      };
};

/**
 * Whether a change was accepted, and if not, the text that it builds on. A sender that derives its change from the
 * current text asks this first: a change that was accepted is acknowledged, and one whose base is outdated is refused
 * without a text.
 */
const prepareChange = async (
  master: MasterView,
  identity: ChangeIdentity,
): Promise<OperatorResponse> => {
  try {
    const state = await master.confirm();
    if (!wasAccepted(state, identity))
      return state.config
        ? succeeded({ taken: false, text: state.config.text })
        : refused(HttpStatus.notFound, 'missing', noConfiguration);
    await master.waitUntilInForce({ state, at: master.committedAt });
    return succeeded({ taken: true, version: identity.version });
  } catch (error) {
    if (error instanceof OperatorRequestError) return error.toResponse();
    return failedChange(error, 'ask again');
  }
};

const viewConfiguration = (state: State): unknown => {
  if (!state.config) throw new NotFoundError(noConfiguration);
  const { version, text, digest, changeId } = state.config;
  return { version, text, digest, changeId };
};

/** Operations of `/v1/config` and `/v1/config/prepare`. */
export const configurationOperations: readonly Operation[] = [
  defineOperation({
    method: 'PUT',
    matches: ({ section, id }) => section === 'config' && id === '',
    authority: 'commit',
    schema: configurationSchema,
    handler: ({ master, body }) => putConfiguration(master, body),
  }),
  defineOperation({
    method: 'GET',
    matches: ({ section, id }) => section === 'config' && id === '',
    authority: 'quorum-read',
    schema: noBody,
    handler: ({ master }) => readConfirmed(master, viewConfiguration),
  }),
  defineOperation({
    method: 'POST',
    matches: ({ section, id }) => section === 'config' && id === 'prepare',
    authority: 'quorum-read',
    schema: preparedChangeSchema,
    handler: ({ master, body }) => prepareChange(master, body),
  }),
];
