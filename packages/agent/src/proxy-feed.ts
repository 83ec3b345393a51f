/**
 * Feeds one proxy over loopback with the cluster state, the read lease and the list of barred servers, and keeps the
 * proxy's last report. Owns the record of the state version and configuration that the proxy has. A configuration is
 * left out of a feed only if the last feed with a state succeeded and carried that configuration.
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

/** A proxy's report for the master: its observations of servers, and the slots that it releases. */
export interface ProxyReport {
  readonly seen: unknown;
  readonly released: readonly unknown[];
}

/** The report used before any proxy has reported. */
export const emptyReport: ProxyReport = { seen: [], released: [] };

/** State of the control link at the time of a feed. */
export interface ControlLink {
  /** Time of the last renewal of the read lease, in ms; -Infinity if it was never renewed. */
  readonly leaseRenewedAt: number;
  /** Ids of servers that must get no new requests; undefined while that is not known. */
  readonly barred: readonly string[] | undefined;
  /** Id of the master; '' if none is known. */
  readonly master: string;
  readonly term: number;
}

/** Dependencies of a feed. */
export interface ProxyFeedOptions {
  readonly clock: Clock;
  readonly loopback: Transport;
  /** Loopback address of the proxy. */
  readonly addr: string;
  readonly bounds: { readonly heartbeatInterval: number };
}

/** The feed of one adopted proxy. */
export class ProxyFeed {
  private proxyReport: ProxyReport;
  private isStopping = false;
  private hasReleasedLease = false;
  private lastFeedAt: number;
  private sentAt = -Infinity;
  private fedVersion: StateVersion = versionOf(undefined);
  private fedConfigDigest = '';

  /** `report` is used until the proxy has sent its own report. */
  constructor(
    private readonly parts: ProxyFeedOptions,
    private readonly proxyId: string,
    report: ProxyReport,
  ) {
    this.proxyReport = report;
    this.lastFeedAt = parts.clock.now();
  }

  /** The proxy's latest report. */
  get report(): ProxyReport {
    return this.proxyReport;
  }

  /** Whether the proxy has reported that it is stopping. */
  get proxyIsStopping(): boolean {
    return this.isStopping;
  }

  /** Whether the proxy has reported that it released its read lease. */
  get leaseReleased(): boolean {
    return this.hasReleasedLease;
  }

  /** Time at which the last feed with a reply was sent, in ms; -Infinity before the first reply. */
  get repliedFeedSentAt(): number {
    return this.sentAt;
  }

  /** Time since the last feed succeeded or, before the first one, since the proxy was adopted, in ms. */
  get idleMs(): number {
    return this.parts.clock.now() - this.lastFeedAt;
  }

  /**
   * Feeds the proxy; the feed includes the state if the proxy has an older one. Resolves with true if the proxy
   * releases other slots than in its previous report. Throws `other-proxy` if another proxy responds, and any error of
   * the call.
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
    if (response.id !== this.proxyId)
      throw new FeedError('other-proxy', `proxy ${response.id} replied, not ${this.proxyId}`);
    this.fedVersion = response.applied;
    this.isStopping = response.stopping;
    this.hasReleasedLease = response.leaseReleased ?? false;
    const { released: previouslyReleased } = this.proxyReport;
    this.proxyReport = { seen: response.seen, released: response.released };
    this.lastFeedAt = clock.now();
    this.sentAt = sentAt;
    return (
      response.released.length > 0 &&
      JSON.stringify(response.released) !== JSON.stringify(previouslyReleased)
    );
  }

  private stateEntries(state: State | undefined, digest: string): object {
    if (!state || !isNewerVersion(versionOf(state), this.fedVersion)) return {};
    const proxyHasConfig = digest !== '' && digest === this.fedConfigDigest;
    const entries = [...encodeState(state)].filter(([key]) => !proxyHasConfig || key !== 'config');
    return { state: entries, ...(proxyHasConfig ? { config: digest } : {}) };
  }
}

/** Encodes a lease that was never renewed as -1, since JSON has no infinity. */
const linkEntries = ({ leaseRenewedAt, barred, master, term }: ControlLink): object => ({
  leaseRenewedAt: Number.isFinite(leaseRenewedAt) ? leaseRenewedAt : -1,
  ...(barred ? { barred } : {}),
  master,
  term,
});
