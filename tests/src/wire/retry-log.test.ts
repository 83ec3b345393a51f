/** Failures of retried work become warnings once it has failed for long. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { SimClock } from '@tillerstair/sim';
import { RetryLog, silentLogger } from '@tillerstair/wire';

const retries = suite('the log of retries');

const warnAfterMs = 1000;
const attemptMs = 300;

// Guards against a part that stays closed after a loss and says to nobody why.
retries('a failure is a warning once in each time after the first', async () => {
  const clock = new SimClock();
  const lines: string[] = [];
  const log = {
    ...silentLogger,
    debug: (text: string) => lines.push(`debug ${text}`),
    warn: (text: string) => lines.push(`warn ${text}`),
  };
  const retryLog = new RetryLog(clock, log, warnAfterMs);
  for (let attempt = 0; attempt < 9; attempt++) {
    retryLog.failed('it failed');
    await clock.run(attemptMs);
  }
  assert.equal(
    lines.map((line) => line.split(' ')[0]),
    ['debug', 'debug', 'debug', 'debug', 'warn', 'debug', 'debug', 'debug', 'warn'],
  );
  assert.is(lines[4], 'warn it failed, retried for 1.2 s.');
});

retries.run();
