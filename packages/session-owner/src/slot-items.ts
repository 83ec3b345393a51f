/**
 * The items of one open slot in its owner's memory, with two indexes derived from them: the turns of each program and
 * the tokens that a program and its sub-agents have spent. Only writes that reached a quorum are included.
 */
import { itemBytes, recordGroup, rootProgramId, type Item } from '@tillerstair/state';
import type { ByteBudget, Clock } from '@tillerstair/wire';
import { TurnCost } from './stored-values.js';

/** The cost of a stored turn in tokens; 0 for a value without a cost. */
const turnCost = (value: unknown): number => {
  const turn = TurnCost.safeParse(value);
  return turn.success ? turn.data.cost : 0;
};

/** The program of a turn's key; undefined for the key of any other item. */
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

  /** @param memory - the memory of the owner, to which the items are added */
  constructor(
    private readonly clock: Clock,
    private readonly memory: ByteBudget,
  ) {}

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

  /** Stores an item under its key, replacing an earlier one whatever its sequence number. */
  set(item: Item): void {
    const program = programOfTurn(item.key);
    if (program !== undefined) this.countTurn(program, item);
    const previous = this.items.get(item.key);
    this.memory.add(itemBytes(item) - (previous ? itemBytes(previous) : 0));
    this.items.set(item.key, item);
    this.lastWriteByGroup.set(recordGroup(item.key), this.clock.now());
  }

  /** Drops all items. */
  clear(): void {
    for (const item of this.items.values()) this.memory.add(-itemBytes(item));
    this.items = new Map();
    this.costByRootProgram = new Map();
    this.turnKeysByProgram = new Map();
    this.lastWriteByGroup = new Map();
  }

  /** Replaces all items by the given ones. */
  replaceWith(items: Iterable<Item>): void {
    this.clear();
    for (const item of items) this.set(item);
  }

  /**
   * Drops each group (a program with its sub-agents, or one operation key) whose last write is more than `retentionMs`
   * ago, with all its items, and returns the number of groups dropped.
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
