/** Tokens of reservations in progress: they count against a budget until the replicas have stored the reservation. */
export class PendingReservations {
  private readonly tokens = new Map<string, number>();

  /** Tokens of this root program's reservations that are being written. */
  of(rootProgram: string): number {
    return this.tokens.get(rootProgram) ?? 0;
  }

  /** Counts `tokens` as pending until `write` settles; rejects as `write` does. */
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
