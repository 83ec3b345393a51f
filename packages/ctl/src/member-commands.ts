/** Commands for cluster members and servers; each sends one request to a control. */
import { requestAny, type ControlRequest, type Method } from './control-client.js';
import { InvalidInputError } from './errors.js';
import { controlAddresses, defaultTimeoutMs, type CommandOptions } from './options.js';
import { report, type ExitCode } from './report.js';

/** Sends one request to the controls and prints its reply. */
export const requestAndReport = async (
  options: CommandOptions,
  request: ControlRequest,
): Promise<ExitCode> =>
  report(
    options,
    await requestAny(controlAddresses(options), request, options.timeoutMs ?? defaultTimeoutMs),
  );

/** Arguments of `tillerctl server`; `pool` and `url` are required by `add` only. */
export interface ServerArguments {
  readonly id: string;
  readonly pool: string | undefined;
  readonly url: string | undefined;
}

const serverRequest = (verb: string, { id, pool, url }: ServerArguments): ControlRequest => {
  const path = `/v1/servers/${encodeURIComponent(id)}`;
  switch (verb) {
    case 'add':
      if (pool === undefined || url === undefined)
        throw new InvalidInputError('server add: ID, POOL and URL are required');
      return { method: 'PUT', path, body: JSON.stringify({ pool, url }) };
    case 'draining':
      return { method: 'POST', path: `${path}/draining` };
    case 'remove':
      return { method: 'DELETE', path };
    default:
      throw new InvalidInputError(`server ${verb}: unknown verb; must be add, draining or remove`);
  }
};

/** Runs `tillerctl server`: adds a server, marks it as draining, or removes it. */
export const serverCommand = (
  options: CommandOptions,
  verb: string,
  server: ServerArguments,
): Promise<ExitCode> => requestAndReport(options, serverRequest(verb, server));

const votingControlMethods: ReadonlyMap<string, Method> = new Map([
  ['add', 'POST'],
  ['remove', 'DELETE'],
]);

/** Runs `tillerctl control`: adds a control to the voting controls or removes it from them. */
export const votingControlCommand = (
  options: CommandOptions,
  verb: string,
  node: string,
): Promise<ExitCode> => {
  const method = votingControlMethods.get(verb);
  if (!method) throw new InvalidInputError(`control ${verb}: unknown verb; must be add or remove`);
  return requestAndReport(options, { method, path: `/v1/controls/${encodeURIComponent(node)}` });
};

/** Marks a member as draining or emptying by a POST to `path`, or with `--cancel` removes the mark by a DELETE. */
export const markCommand = (options: CommandOptions, path: string): Promise<ExitCode> =>
  requestAndReport(options, {
    method: options.all.get('cancel') === true ? 'DELETE' : 'POST',
    path,
  });
