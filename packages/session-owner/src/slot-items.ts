/**
 * The items of one open slot in its owner's memory, with what is derived from them: the turns of each program and the
 * tokens that a program and its sub-agents have spent. Only writes that counted are in it.
 */
import { recordGroup, rootProgramId, type Item } from '@tillerstair/state';
import type { Clock } from '@tillerstair/wire';
import { TurnCost } from './stored-values.js';

const turnCost = (value: unknown): number => {
  const turn = TurnCost.safeParse(value);
  return turn.success ? turn.data.cost : 0;
};

/** The program whose turn a key names, or undefined for the key of something else. */
const programOfTurn = (key: string): string | undefined => {
  const [kind, program = '', part] = key.split('/');
  return kind === 'p' && part === 't' ? program : undefined;
};

/** The items of one slot by key. */
export class SlotItems {
  private items = new Map<string, Item>();
  private costByRootProgram = new Map<string, number>();
  private turnKeysByProgram = new Map<string, string[]>();
  private lastWriteByGroup = new Map<string, number>();

  constructor(private readonly clock: Clock) {}

  /** The number of items. */
  get size(): number {
    return this.items.size;
  }

  /** The items by key. */
  entries(): Iterable<readonly [string, Item]> {
    return this.items;
  }

  /** The value at a key, or undefined. */
  get(key: string): unknown {
    return this.items.get(key)?.value;
  }

  /** Tokens that a root program and its sub-agents have spent or reserved. */
  costOf(rootProgram: string): number {
    return this.costByRootProgram.get(rootProgram) ?? 0;
  }

  /** Keys of a program's turns, the oldest first. */
  turnKeysOf(program: string): readonly string[] {
    return this.turnKeysByProgram.get(program) ?? [];
  }

  /** Puts an item in place of the one at its key, whatever that one's sequence is. */
  set(item: Item): void {
    const program = programOfTurn(item.key);
    if (program !== undefined) this.countTurn(program, item);
    this.items.set(item.key, item);
    this.lastWriteByGroup.set(recordGroup(item.key), this.clock.now());
  }

  /** Drops all items. */
  clear(): void {
    this.items = new Map();
    this.costByRootProgram = new Map();
    this.turnKeysByProgram = new Map();
    this.lastWriteByGroup = new Map();
  }

  /** Drops all items and takes these. */
  replaceWith(items: Iterable<Item>): void {
    this.clear();
    for (const item of items) this.set(item);
  }

  /**
   * Drops the groups (a program with its sub-agents, or one operation key) to which nothing was written for longer than
   * `retentionMs`, each complete, and returns how many.
   */
  expire(retentionMs: number): number {
    const now = this.clock.now();
    const expired = new Set(
      [...this.lastWriteByGroup].filter(([, at]) => now - at > retentionMs).map(([group]) => group),
    );
    if (expired.size === 0) return 0;
    const remaining = [...this.items.values()].filter(
      (item) => !expired.has(recordGroup(item.key)),
    );
    const lastWrites = [...this.lastWriteByGroup].filter(([group]) => !expired.has(group));
    this.replaceWith(remaining);
    this.lastWriteByGroup = new Map(lastWrites);
    return expired.size;
  }

  private countTurn(program: string, item: Item): void {
    const previous = this.items.get(item.key);
    if (!previous)
      this.turnKeysByProgram.set(program, [
        ...(this.turnKeysByProgram.get(program) ?? []),
        item.key,
      ]);
    const rootProgram = rootProgramId(program);
    const previousCost = previous ? turnCost(previous.value) : 0;
    this.costByRootProgram.set(
      rootProgram,
      this.costOf(rootProgram) - previousCost + turnCost(item.value),
    );
  }
}
