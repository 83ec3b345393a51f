/** Commands on members of the cluster and on servers: each is one request to a control. */
import { requestAny, type ControlRequest, type Method } from './control-client.js';
import { InvalidInputError } from './errors.js';
import { controlAddresses, defaultTimeoutMs, type CommandOptions } from './options.js';
import { report, type ExitCode } from './report.js';

/** Sends one request and reports its reply. */
export const requestAndReport = async (
  options: CommandOptions,
  request: ControlRequest,
): Promise<ExitCode> =>
  report(
    options,
    await requestAny(controlAddresses(options), request, options.timeoutMs ?? defaultTimeoutMs),
  );

/** A server as `tillerctl server` names it. */
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
        throw new InvalidInputError('server add: name ID POOL URL');
      return { method: 'PUT', path, body: JSON.stringify({ pool, url }) };
    case 'draining':
      return { method: 'POST', path: `${path}/draining` };
    case 'remove':
      return { method: 'DELETE', path };
    default:
      throw new InvalidInputError(`server ${verb}: must be add, draining or remove`);
  }
};

/** Adds a server, marks it draining, or removes it. */
export const serverCommand = (
  options: CommandOptions,
  verb: string,
  server: ServerArguments,
): Promise<ExitCode> => requestAndReport(options, serverRequest(verb, server));

const votingControlMethods: ReadonlyMap<string, Method> = new Map([
  ['add', 'POST'],
  ['remove', 'DELETE'],
]);

/** Adds a control to the voting ones, or removes it from them. */
export const votingControlCommand = (
  options: CommandOptions,
  verb: string,
  node: string,
): Promise<ExitCode> => {
  const method = votingControlMethods.get(verb);
  if (!method) throw new InvalidInputError(`control ${verb}: must be add or remove`);
  return requestAndReport(options, { method, path: `/v1/controls/${encodeURIComponent(node)}` });
};

/** Sets a mark on a member, or, with `--cancel`, removes it again. */
export const markCommand = (options: CommandOptions, path: string): Promise<ExitCode> =>
  requestAndReport(options, {
    method: options.all.get('cancel') === true ? 'DELETE' : 'POST',
    path,
  });
