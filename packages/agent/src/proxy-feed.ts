/**
 * Feeds one proxy over loopback with the cluster state, the read lease and the servers that are barred, and remembers
 * what the proxy reports. Owns which version and configuration the proxy has. A configuration is left out of a feed only
 * if the last feed that carried a state succeeded with that configuration.
 */
import {
  encodeState,
  isNewerVersion,
  versionOf,
  type State,
  type StateVersion,
} from '@tillerstair/state';
import { FeedError, type Clock, type Transport } from '@tillerstair/wire';
import { FeedResponse } from './messages.js';

/** What a proxy reports to the master: what it saw of servers, and the slots that it releases. */
export interface ProxyReport {
  readonly seen: unknown;
  readonly released: readonly unknown[];
}

/** The report of an agent that has heard of no proxy yet. */
export const emptyReport: ProxyReport = { seen: [], released: [] };

/** What the agent knows of the control link at the moment of a feed. */
export interface ControlLink {
  /** When the read lease was renewed, in ms; -Infinity for never. */
  readonly leaseRenewedAt: number;
  /** Servers that may get nothing new; undefined while that is not known. */
  readonly barred: readonly string[] | undefined;
  /** The id of the master, '' if none is known. */
  readonly master: string;
  readonly term: number;
}

/** What a feed works with. */
export interface ProxyFeedOptions {
  readonly clock: Clock;
  readonly loopback: Transport;
  /** The loopback address of the proxy. */
  readonly addr: string;
  readonly bounds: { readonly heartbeatInterval: number };
}

/** The feed of one adopted proxy. */
export class ProxyFeed {
  private proxyReport: ProxyReport;
  private isStopping = false;
  private hasReleasedLease = false;
  private lastFeedAt: number;
  private lastAnsweredSentAt = -Infinity;
  private fedVersion: StateVersion = versionOf(undefined);
  private fedConfigDigest = '';

  /** `report` is what counts until the proxy has reported itself. */
  constructor(
    private readonly parts: ProxyFeedOptions,
    private readonly proxyId: string,
    report: ProxyReport,
  ) {
    this.proxyReport = report;
    this.lastFeedAt = parts.clock.now();
  }

  /** The proxy's newest report. */
  get report(): ProxyReport {
    return this.proxyReport;
  }

  /** Whether the proxy said that it is shutting down. */
  get proxyIsStopping(): boolean {
    return this.isStopping;
  }

  /** Whether the proxy said that it has given its read lease up. */
  get leaseReleased(): boolean {
    return this.hasReleasedLease;
  }

  /** When the newest feed that the proxy replied to was sent, in ms; -Infinity before. */
  get repliedFeedSentAt(): number {
    return this.lastAnsweredSentAt;
  }

  /** How long ago the last feed succeeded, or the proxy was adopted, in ms. */
  get idleMs(): number {
    return this.parts.clock.now() - this.lastFeedAt;
  }

  /**
   * Feeds the proxy; the state goes along if the proxy has an older one. Resolves with whether the proxy releases slots
   * that it did not release before. Throws `other-proxy` if another proxy responds, and what the call throws.
   */
  async feed(state: State | undefined, link: ControlLink): Promise<boolean> {
    const digest = state?.config?.digest ?? '';
    const body = { ...this.stateEntries(state, digest), ...linkEntries(link) };
    const sendsState = 'state' in body;
    if (sendsState) this.fedConfigDigest = '';
    const { addr, bounds, clock, loopback } = this.parts;
    const sentAt = clock.now();
    const response = FeedResponse.parse(
      await loopback.call(addr, 'front/feed', body, { timeoutMs: bounds.heartbeatInterval }),
    );
    if (sendsState) this.fedConfigDigest = digest;
    if (response.id !== this.proxyId) throw new FeedError('other-proxy', 'another proxy replied');
    this.fedVersion = response.applied;
    this.isStopping = response.stopping;
    this.hasReleasedLease = response.leaseReleased ?? false;
    const { released } = this.proxyReport;
    this.proxyReport = { seen: response.seen, released: response.released };
    this.lastFeedAt = clock.now();
    this.lastAnsweredSentAt = sentAt;
    return (
      response.released.length > 0 && JSON.stringify(response.released) !== JSON.stringify(released)
    );
  }

  private stateEntries(state: State | undefined, digest: string): object {
    if (!state || !isNewerVersion(versionOf(state), this.fedVersion)) return {};
    const isKnown = digest !== '' && digest === this.fedConfigDigest;
    const entries = [...encodeState(state)].filter(([key]) => !isKnown || key !== 'config');
    return { state: entries, ...(isKnown ? { config: digest } : {}) };
  }
}

/** A lease that was never renewed is told as -1, since JSON knows no infinity. */
const linkEntries = ({ leaseRenewedAt, barred, master, term }: ControlLink): object => ({
  leaseRenewedAt: Number.isFinite(leaseRenewedAt) ? leaseRenewedAt : -1,
  ...(barred ? { barred } : {}),
  master,
  term,
});
