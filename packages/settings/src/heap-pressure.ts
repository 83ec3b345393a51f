/**
 * Collects garbage before a process exceeds its memory. V8 knows the limit of its heap alone: on a machine with less memory
 * than that, it would keep garbage until the process is killed.
 */
import { getHeapStatistics, setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

const mb = 1 << 20;
const checkIntervalMs = 20;
/** Resident memory outside the heap and its buffers, in bytes: code, stacks and the allocator's reserve. */
const baseBytes = 64 * mb;
/** Share of the memory for heap and buffers at which garbage is collected. */
const collectAtShare = 0.65;
/** Growth since the last collection without which another one would free little, in bytes. */
const minGrowthBytes = 12 * mb;

/** Heap and buffers of this process, in bytes. */
const heapAndBufferBytes = (): number => {
  const { total_heap_size: heapBytes, external_memory: bufferBytes } = getHeapStatistics();
  return heapBytes + bufferBytes;
};

/** V8's function for a complete collection, which it exposes to contexts that are made after its flag was set. */
const createCollector = (): (() => void) => {
  setFlagsFromString('--expose-gc');
  const collect: unknown = runInNewContext('gc');
  return () => {
    if (typeof collect === 'function') Reflect.apply(collect, undefined, []);
  };
};

/** Decides when garbage is collected. */
export class HeapPressure {
  private bytesAfterCollection = 0;

  constructor(
    private readonly limitBytes: number,
    private readonly collect: () => void,
    private readonly readBytes: () => number = heapAndBufferBytes,
  ) {}

  /** Collects garbage if the heap and its buffers have come close to the limit, and grown since the last time. */
  check(): void {
    const bytes = this.readBytes();
    const hasGrown = bytes >= this.bytesAfterCollection + minGrowthBytes;
    if (bytes < this.limitBytes * collectAtShare || !hasGrown) return;
    this.collect();
    this.bytesAfterCollection = this.readBytes();
  }
}

/**
 * Keeps this process within `memoryMb` as far as that depends on garbage; does not keep the process running. Without a limit,
 * or where V8's own limit is lower, nothing is done.
 */
export const collectUnderPressure = (memoryMb: number | undefined): void => {
  if (memoryMb === undefined) return;
  const limitBytes = Math.max(0, memoryMb * mb - baseBytes);
  if (getHeapStatistics().heap_size_limit < limitBytes * collectAtShare) return;
  const pressure = new HeapPressure(limitBytes, createCollector());
  setInterval(() => pressure.check(), checkIntervalMs).unref();
};
