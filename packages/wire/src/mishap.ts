export type Ran = 'no' | 'unknown' | 'yes';

export class Mishap extends Error {
  constructor(
    readonly code: string,
    message: string,
    readonly ran: Ran = 'no',
    readonly comeBack = 1000,
  ) {
    super(message);
    this.name = 'Mishap';
  }
}

export class CircuitRefused extends Mishap {
  constructor(to: string) {
    super('circuit-refused', `no circuit to ${to}`, 'no');
  }
}

export class CircuitLost extends Mishap {
  constructor(to: string) {
    super('circuit-lost', `circuit to ${to} was lost`, 'unknown');
  }
}

export class TooLate extends Mishap {
  constructor(to: string) {
    super('too-late', `no verdict from ${to} in time`, 'unknown');
  }
}

/** Whether an error tells of a fault in this program rather than of trouble outside it. */
export const isProgrammingError = (e: unknown): e is TypeError | RangeError | ReferenceError =>
  e instanceof TypeError || e instanceof RangeError || e instanceof ReferenceError;

export const mishapOf = (e: unknown): Mishap =>
  e instanceof Mishap ? e : new Mishap('internal', e instanceof Error ? e.message : String(e), 'unknown');
