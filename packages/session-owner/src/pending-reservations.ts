/** Tokens that are being reserved: counted against a budget from the decision until replicas have the reservation. */
export class PendingReservations {
  private readonly tokens = new Map<string, number>();

  /** Tokens of reservations of this root program that are being written. */
  of(rootProgram: string): number {
    return this.tokens.get(rootProgram) ?? 0;
  }

  /** Counts `tokens` while `write` runs. */
  async during(rootProgram: string, tokens: number, write: () => Promise<void>): Promise<void> {
    this.add(rootProgram, tokens);
    try {
      await write();
    } finally {
      this.add(rootProgram, -tokens);
    }
  }

  private add(rootProgram: string, tokens: number): void {
    const sum = this.of(rootProgram) + tokens;
    if (sum > 0) this.tokens.set(rootProgram, sum);
    else this.tokens.delete(rootProgram);
  }
}
