/**
 * What clients and nodes of a model run said, checked against what was really committed.
 * A finding names the rule that was broken, so that runs can be counted by rule.
 */
import { versionOf, isNewerVersion, type StateVersion, type State } from '@tillerstair/state';

/** Rules that hold after every step of a run. */
export const modelRules = [
  'one master a term',
  'committed state is kept',
  'terms and versions never go back',
  'one vote a term',
  'acknowledged changes are committed',
  'one content a version',
  'refusals are true',
  'reads hold every acknowledged change',
  'serves again once healed',
] as const;
/** One of the rules. */
export type ModelRule = (typeof modelRules)[number];

/** A rule that was broken, with what showed it. */
export interface ModelFinding {
  readonly rule: ModelRule;
  readonly text: string;
}

/** A configuration as one operator sends it; every one has a content of its own. */
export interface SentConfig {
  readonly version: number;
  readonly base: number;
  readonly digest: string;
  readonly text: string;
}

/** What was committed and acknowledged when a call began. */
export interface CallStart {
  readonly committedVersion: number;
  readonly hasConfig: boolean;
  readonly acknowledged: number;
}

const keyOf = (m: StateVersion): string => `${m.term}.${m.version}`;

const fingerprintOf = (s: State): string =>
  JSON.stringify([
    s.clusterId,
    s.config?.version,
    s.config?.digest,
    s.voters,
    [...s.nodes.keys()].sort(),
    [...s.servers.keys()].sort(),
  ]);

/** The committed states and acknowledged changes of one run, in the order in which they were seen. */
export class ModelHistory {
  readonly findings: ModelFinding[] = [];
  newest: State | undefined;
  private readonly seen = new WeakSet<State>();
  private readonly fingerprints = new Map<string, string>();
  private readonly masters = new Map<number, string>();
  private readonly contents = new Map<number, string>();
  private acknowledgedVersion = 0;
  private checks = 0;

  /** How many statements were checked. */
  get checked(): number {
    return this.checks;
  }

  get committedVersion(): number {
    return this.newest?.config?.version ?? 0;
  }

  addFinding(rule: ModelRule, text: string): void {
    if (this.findings.some((f) => f.rule === rule && f.text === text)) return;
    this.findings.push({ rule, text });
  }

  begin(): CallStart {
    return {
      committedVersion: this.committedVersion,
      hasConfig: this.newest?.config !== undefined,
      acknowledged: this.acknowledgedVersion,
    };
  }

  /** Records a state that some node has committed. */
  committed(by: string, s: State): void {
    if (this.seen.has(s)) return;
    this.seen.add(s);
    this.checks++;
    const mark = versionOf(s);
    const key = keyOf(mark);
    const fingerprint = fingerprintOf(s);
    const known = this.fingerprints.get(key);
    if (known !== undefined) {
      if (known !== fingerprint)
        this.addFinding(
          'committed state is kept',
          `${by} holds another state ${key}: ${fingerprint}, not ${known}`,
        );
      return;
    }
    this.fingerprints.set(key, fingerprint);
    const master = this.masters.get(s.term);
    if (master !== undefined && master !== s.master)
      this.addFinding('one master a term', `term ${s.term}: ${master} and ${s.master}`);
    this.masters.set(s.term, s.master);
    const { newest } = this;
    if (newest && !isNewerVersion(mark, versionOf(newest))) {
      this.addFinding(
        'committed state is kept',
        `${by} commits ${key} after ${keyOf(versionOf(newest))}`,
      );
      return;
    }
    this.advance(by, s);
  }

  private advance(by: string, s: State): void {
    const before = this.committedVersion;
    const { config } = s;
    if ((config?.version ?? 0) < before)
      this.addFinding(
        'committed state is kept',
        `${by} goes back from configuration ${before} to ${config?.version ?? 0}`,
      );
    this.newest = s;
    if (config) this.content(config.version, config.digest, `committed by ${by}`);
  }

  private content(version: number, digest: string, what: string): void {
    const known = this.contents.get(version);
    if (known !== undefined && known !== digest)
      this.addFinding(
        'one content a version',
        `version ${version}: ${known.slice(0, 6)} and ${digest.slice(0, 6)} (${what})`,
      );
    this.contents.set(version, known ?? digest);
  }

  /** A change was acknowledged. */
  acknowledged(c: SentConfig, by: string): void {
    this.checks++;
    if (this.committedVersion < c.version)
      this.addFinding(
        'acknowledged changes are committed',
        `${by} acknowledged ${c.version}, committed is ${this.committedVersion}`,
      );
    this.content(c.version, c.digest, `acknowledged by ${by}`);
    this.acknowledgedVersion = Math.max(this.acknowledgedVersion, c.version);
  }

  /** A change was refused since another version is current. */
  refused(c: SentConfig, by: string, start: CallStart, current: number | undefined): void {
    this.checks++;
    const now = this.committedVersion;
    const who = `${by} refused ${c.version} on ${c.base} (${c.digest.slice(0, 6)})`;
    if (this.contents.get(c.version) === c.digest)
      this.addFinding('refusals are true', `${who}, which had been taken`);
    else if (start.committedVersion === c.base && now === c.base)
      this.addFinding('refusals are true', `${who}, and ${c.base} was current all the time`);
    if (current !== undefined && (current < start.committedVersion || current > now))
      this.addFinding(
        'refusals are true',
        `${who} since ${current} is current, which was ${start.committedVersion} to ${now}`,
      );
  }

  /** A read found a configuration, or none. */
  read(
    found: { readonly version: number; readonly digest: string } | undefined,
    by: string,
    start: CallStart,
  ): void {
    this.checks++;
    const version = found?.version ?? 0;
    const least = Math.max(start.acknowledged, start.committedVersion);
    if (version < least)
      this.addFinding(
        'reads hold every acknowledged change',
        `${by} read ${version}, ${least} had been committed`,
      );
    if (version > this.committedVersion)
      this.addFinding(
        'reads hold every acknowledged change',
        `${by} read ${version}, committed is ${this.committedVersion}`,
      );
    if (found) this.content(found.version, found.digest, `read at ${by}`);
  }
}
