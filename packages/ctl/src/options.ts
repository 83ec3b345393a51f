/** What every command can be given, parsed once. */
import { InvalidInputError } from './errors.js';

/** Options of a command; those that only some commands have are read from `all`. */
export interface CommandOptions {
  /** Addresses of the controls, as given. */
  readonly addresses: readonly string[];
  readonly json: boolean;
  /** The deadline of one request, in ms; undefined if it was not given. */
  readonly timeoutMs: number | undefined;
  readonly all: ReadonlyMap<string, unknown>;
}

/** The deadline of a request to a control if none is given; a change may have to wait for an election. */
export const defaultTimeoutMs = 20000;

const textOf = (value: unknown): string | undefined =>
  typeof value === 'string' || typeof value === 'number' ? String(value) : undefined;

const timeoutOf = (value: unknown): number | undefined => {
  if (value === undefined) return undefined;
  const timeoutMs = Number(value);
  if (!(timeoutMs > 0)) throw new InvalidInputError('--within: must be milliseconds above 0');
  return timeoutMs;
};

/** Reads the options that the command line parser found; throws `InvalidInputError`. */
export const optionsOf = (parsed: object): CommandOptions => {
  const all = new Map<string, unknown>(Object.entries(parsed));
  const addresses = textOf(all.get('at')) ?? process.env['TILLERCTL_AT'] ?? '';
  return {
    addresses: addresses.split(',').filter((address) => address !== ''),
    json: all.get('json') === true,
    timeoutMs: timeoutOf(all.get('within')),
    all,
  };
};

/** The addresses of the controls; throws `InvalidInputError` if none was given. */
export const controlAddresses = ({ addresses }: CommandOptions): readonly string[] => {
  if (addresses.length === 0)
    throw new InvalidInputError("--at: name the controls' HTTP addresses, or set TILLERCTL_AT");
  return addresses;
};
