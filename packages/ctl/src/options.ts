/** Options that all commands share, parsed from the command line. */
import { InvalidInputError } from './errors.js';

/** Parsed options of a command; options that only some commands have are read from `all`. */
export interface CommandOptions {
  /** HTTP addresses of the controls, from `--at` or `TILLERCTL_AT`. */
  readonly addresses: readonly string[];
  /** Whether to print JSON. */
  readonly json: boolean;
  /** Timeout of one request, in ms; undefined if `--within` was not given. */
  readonly timeoutMs: number | undefined;
  /** All options by name, unparsed. */
  readonly all: ReadonlyMap<string, unknown>;
}

/** Default timeout of a request to a control, in ms; a change may have to wait for an election. */
export const defaultTimeoutMs = 20000;

const textOf = (value: unknown): string | undefined =>
  typeof value === 'string' || typeof value === 'number' ? String(value) : undefined;

const timeoutOf = (value: unknown): number | undefined => {
  if (value === undefined) return undefined;
  const timeoutMs = Number(value);
  if (!(timeoutMs > 0))
    throw new InvalidInputError('--within: must be a number of milliseconds above 0');
  return timeoutMs;
};

/** Converts the options of the command-line parser; throws `InvalidInputError` for an invalid `--within`. */
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

/** The HTTP addresses of the controls; throws `InvalidInputError` if none was given. */
export const controlAddresses = ({ addresses }: CommandOptions): readonly string[] => {
  if (addresses.length === 0)
    throw new InvalidInputError(
      "--at: the controls' HTTP addresses are required, here or in TILLERCTL_AT",
    );
  return addresses;
};
