/**
 * Derives from the limits of a process how much of its memory each kind of data may take. The budgets of a process are
 * parts of one total, and their shares of it add up to at most 1: what each may take fits also if all are full at once.
 */
import { totalmem } from 'node:os';
import { getHeapStatistics } from 'node:v8';
import { ByteBudget, UnsentBytes, type HttpLimits } from '@tillerstair/wire';

const mb = 1 << 20;
/** Resident memory of a program that has just started, with its code, stacks and the collector's reserve, in bytes. */
const startedProcessBytes = 80 * mb;
/** V8's limit of the heap includes its young generation: three semi-spaces of 16 MB by default. */
const youngGenerationBytes = 48 * mb;
/** Heap of a program that has just started: its code and tables. */
const startedHeapBytes = 20 * mb;
/** Share of a limit that counts as usable at least, however small the limit is. */
const minUsableShare = 0.2;
/** Share of the free heap for data; the rest is for garbage that is not collected yet. */
const heapDataShare = 0.8;
/** Share of the free memory of a process for data in its heap; the rest is for garbage and for buffers outside the heap. */
const processDataShare = 0.5;

const leftOf = (limitBytes: number, takenBytes: number, share: number): number =>
  Math.max((limitBytes - takenBytes) * share, limitBytes * minUsableShare);

/** The memory of a process in bytes; without `memoryMb` that of the host. */
const processBytesOf = (memoryMb: number | undefined): number =>
  memoryMb === undefined ? totalmem() : memoryMb * mb;

/** Bytes that V8's own limit of the heap leaves for data. */
const heapDataBytes = (): number =>
  leftOf(
    getHeapStatistics().heap_size_limit,
    youngGenerationBytes + startedHeapBytes,
    heapDataShare,
  );

/**
 * Bytes of the heap that a process may fill with data: what the heap's own limit, or the process's limit of memory,
 * leaves beside the program itself and its garbage. Without `memoryMb` the memory of the host counts.
 */
const dataBytes = (memoryMb: number | undefined): number =>
  Math.min(
    heapDataBytes(),
    leftOf(processBytesOf(memoryMb), startedProcessBytes, processDataShare),
  );

/** Connections that a listener for operators, health checks or other programs keeps open at once. */
const maxPageConnections = 64;
/** Shares of the data of any program for its pages: incomplete heads and waiting requests, and bodies. */
const pageInputShare = 0.04;
const pageBodyShare = 0.06;
/** Answers that wait outside the heap for their readers, in relation to the data in the heap. */
const unsentShare = 0.25;

/** The memory of one process for what others make it hold. */
export class ProcessMemory {
  readonly total: ByteBudget;
  /** What waits at this process for its readers, over all its listeners. */
  readonly unsent: UnsentBytes;

  /** @param memoryMb - the limit of the process; the memory of the host by default */
  constructor(memoryMb: number | undefined) {
    this.total = new ByteBudget(dataBytes(memoryMb));
    this.unsent = new UnsentBytes(this.total.limitBytes * unsentShare);
  }

  /** A budget for a share of the total. */
  part(share: number): ByteBudget {
    return new ByteBudget(this.total.limitBytes * share, this.total);
  }

  /** Limits of a listener for operators, health checks or other programs. */
  pageLimits(bodyShare = pageBodyShare, maxConnections = maxPageConnections): HttpLimits {
    return {
      maxConnections,
      inputMemory: this.part(pageInputShare),
      bodyMemory: this.part(bodyShare),
      unsent: this.unsent,
    };
  }
}

/** Share of the data in a store's heap for items and hints; the rest is for requests and pages. */
const storeHeapItemShare = 0.75;
/**
 * Share of the free memory of a store for items and hints. Most of them stay until they expire and make little garbage; the
 * rest is for requests and pages, and for the garbage of all.
 */
const storeProcessItemShare = 0.7;
/** Share of a store's data for replies that are not sent yet. */
const storeReplyShare = 0.1;

/**
 * Maximum memory of the items and hints of a store, in bytes: a share of what the process's limit of memory leaves, at most
 * a share of what V8's limit of the heap leaves.
 *
 * @param memoryMb - the limit of the process; the memory of the host by default
 */
export const storeItemBytes = (memoryMb: number | undefined): number =>
  Math.min(
    heapDataBytes() * storeHeapItemShare,
    leftOf(processBytesOf(memoryMb), startedProcessBytes, storeProcessItemShare),
  );

/** The budget for the replies of a store that are not sent yet. */
export const storeReplyMemory = (memory: ProcessMemory): ByteBudget => memory.part(storeReplyShare);

/** Shares of a control's data for the bodies of operators' requests, at each of its two listeners. */
const operatorBodyShare = 0.3;
/** Connections of operators, and of servers, that a control keeps open at once. */
const maxOperatorConnections = 128;

/** Limits of a control's listener for operators. */
export const operatorLimits = (memory: ProcessMemory): HttpLimits =>
  memory.pageLimits(operatorBodyShare, maxOperatorConnections);

/** Shares of a front's data; `pageInputShare` and `pageBodyShare` come on top. */
const frontShares = {
  items: 0.3,
  requests: 0.2,
  conversations: 0.1,
  answers: 0.15,
  clientInput: 0.08,
  healthCheckInput: 0.02,
  replies: 0.05,
} as const;

/** The budgets of a front; see `createFrontMemory`. */
export interface FrontMemory {
  /** Items of the slots that the front owns. */
  readonly items: ByteBudget;
  /** Requests under way, of its clients and of other fronts. */
  readonly requests: ByteBudget;
  /** Conversations that requests continue. */
  readonly conversations: ByteBudget;
  /** Answers of servers that are collected or stored. */
  readonly answers: ByteBudget;
  /** What clients have sent and what is not handled yet, and the same of health checks. */
  readonly clientInput: ByteBudget;
  readonly healthCheckInput: ByteBudget;
  /** Replies to other fronts that are not sent yet. */
  readonly replies: ByteBudget;
  readonly pages: HttpLimits;
  readonly unsent: UnsentBytes;
}

/** Divides the memory of a front. */
export const createFrontMemory = (memory: ProcessMemory): FrontMemory => ({
  items: memory.part(frontShares.items),
  requests: memory.part(frontShares.requests),
  conversations: memory.part(frontShares.conversations),
  answers: memory.part(frontShares.answers),
  clientInput: memory.part(frontShares.clientInput),
  healthCheckInput: memory.part(frontShares.healthCheckInput),
  replies: memory.part(frontShares.replies),
  pages: memory.pageLimits(),
  unsent: memory.unsent,
});
