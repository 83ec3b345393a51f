/** A crowd of raw TCP clients that keep sending for as long as they are let, each at the pace of its connection. */
import { connect, type Socket } from 'node:net';
import { until } from '@tillerstair/fleet';
import type { CrowdFixture } from './crowd-fixture.js';

/** What each client of a crowd does. */
export interface CrowdPlan {
  readonly port: number;
  /** The address that the crowd connects to; 127.0.0.1 by default. */
  readonly host?: string;
  readonly clients: number;
  /** How often each client sends its message, over one connection after the other. */
  readonly rounds: number;
  /** What a client sends in each round. */
  readonly message: (round: number) => string;
  /** Whether the clients read what they are answered; they do not by default. */
  readonly reads?: boolean;
  /** Whether each message goes over a new connection, which is closed once the message is sent. */
  readonly leaves?: boolean;
}

/** One client: it sends its messages in turn and opens a new connection once the last one was closed. */
class CrowdClient {
  private socket: Socket | undefined;
  private stopped = false;
  private written = 0;

  constructor(private readonly plan: CrowdPlan) {}

  /** Bytes that all connections of this client have taken. */
  get progress(): number {
    return this.written;
  }

  async run(): Promise<void> {
    const { rounds, message } = this.plan;
    for (let round = 0; round < rounds && !this.stopped; round++) {
      this.socket = this.openSocket();
      await this.write(this.socket, message(round));
      if (this.plan.leaves) this.socket.end();
    }
  }

  stop(): void {
    this.stopped = true;
    this.socket?.destroy();
  }

  private openSocket(): Socket {
    if (this.socket?.writable) return this.socket;
    const { port, host = '127.0.0.1', reads = false } = this.plan;
    const socket = connect(port, host);
    socket.on('error', () => socket.destroy());
    if (reads) socket.resume();
    else socket.pause();
    return socket;
  }

  /** Resolves once the kernel has taken the text, or the connection is closed. */
  private write(socket: Socket, text: string): Promise<void> {
    return new Promise((resolve) => {
      socket.once('close', () => resolve());
      socket.write(text, 'latin1', () => {
        this.written += text.length;
        resolve();
      });
    });
  }
}

/** A crowd whose clients run until they have sent everything, or until `stop`. */
class Crowd {
  private readonly clients: readonly CrowdClient[];
  private running: number;

  constructor(plan: CrowdPlan) {
    this.clients = Array.from({ length: plan.clients }, () => new CrowdClient(plan));
    this.running = plan.clients;
    for (const client of this.clients) void client.run().then(() => this.running--);
  }

  get isDone(): boolean {
    return this.running === 0;
  }

  get progress(): number {
    return this.clients.reduce((sum, client) => sum + client.progress, 0);
  }

  stop(): void {
    for (const client of this.clients) client.stop();
  }
}

/** Time limit for all crowds of a test, in ms. */
const maxCrowdMs = 120_000;
/** Ordinary requests that are served before a crowd without progress counts as held up for good. */
const servedWithoutProgress = 20;

/**
 * Sends ordinary requests while crowds are at work, until each crowd has sent everything or is held up by the system, and
 * asserts all the while that the processes stay within their limits.
 */
export const outlastCrowds = async (
  fixture: CrowdFixture,
  plans: readonly CrowdPlan[],
): Promise<void> => {
  const crowds = plans.map((plan) => new Crowd(plan));
  try {
    let servedSinceProgress = 0;
    let progress = -1;
    await until('the crowds are done or held up', maxCrowdMs, async () => {
      await fixture.serveOrdinary(1);
      fixture.assertWithinLimits();
      const now = crowds.reduce((sum, crowd) => sum + crowd.progress, 0);
      servedSinceProgress = now === progress ? servedSinceProgress + 1 : 0;
      progress = now;
      return crowds.every(({ isDone }) => isDone) || servedSinceProgress >= servedWithoutProgress;
    });
    await fixture.serveOrdinary(3);
    fixture.assertWithinLimits();
  } finally {
    for (const crowd of crowds) crowd.stop();
  }
};
