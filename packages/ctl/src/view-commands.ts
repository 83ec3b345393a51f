/** Commands that show the cluster state: the number of tolerated losses, and the differences between two nodes. */
import { MarginReport } from '@tillerstair/state';
import { compareViews, type Comparison } from './compare-views.js';
import { requestAny, requestAt } from './control-client.js';
import { messageOf, NotReachableError } from './errors.js';
import { isMarginFull, marginLines } from './margin.js';
import { NodeViewReply } from './messages.js';
import { controlAddresses, defaultTimeoutMs, type CommandOptions } from './options.js';
import { ExitCode, print, report } from './report.js';

const viewTimeoutMs = 3000;

/** Prints how many more losses the cluster tolerates; returns `failed` if they are fewer than intended. */
export const marginCommand = async (options: CommandOptions): Promise<ExitCode> => {
  const reply = await requestAny(
    controlAddresses(options),
    { method: 'GET', path: '/v1/margin' },
    options.timeoutMs ?? defaultTimeoutMs,
  );
  const margin = MarginReport.safeParse(reply.body);
  if (!margin.success) return report(options, reply);
  print(options, margin.data, () => marginLines(margin.data).join('\n'));
  return isMarginFull(margin.data) ? ExitCode.done : ExitCode.failed;
};

const viewOf = async (address: string, timeoutMs: number): Promise<NodeViewReply> => {
  const reply = await requestAt(address, { method: 'GET', path: '/v1/view' }, timeoutMs);
  return NodeViewReply.parse(reply.body);
};

const comparisonLines = (comparison: Comparison, a: string, b: string): readonly string[] => {
  if (comparison.differences.length === 0) return ['same'];
  const newer = { a, b, same: 'neither' }[comparison.newer];
  return [
    `newer: ${newer}`,
    ...comparison.differences.map(
      (difference) => `${difference.fact}\n  ${a}: ${difference.a}\n  ${b}: ${difference.b}`,
    ),
  ];
};

/** Prints the differences between the views of the nodes at two HTTP addresses; returns `failed` if there are any. */
export const compareCommand = async (
  options: CommandOptions,
  a: string,
  b: string,
): Promise<ExitCode> => {
  const timeoutMs = options.timeoutMs ?? viewTimeoutMs;
  const [viewA, viewB] = await Promise.allSettled([viewOf(a, timeoutMs), viewOf(b, timeoutMs)]);
  if (viewA.status === 'rejected' || viewB.status === 'rejected') {
    const errors = [viewA, viewB].flatMap((view) =>
      view.status === 'rejected' ? [messageOf(view.reason)] : [],
    );
    throw new NotReachableError(errors.join('\n'));
  }
  const comparison = compareViews(viewA.value, viewB.value);
  print(options, comparison, () => comparisonLines(comparison, a, b).join('\n'));
  return comparison.differences.length === 0 ? ExitCode.done : ExitCode.failed;
};
