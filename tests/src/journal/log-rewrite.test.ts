/** The content of a log that is rewritten while it is appended to. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { LogRewrite, RewriteAbortedError, type OldLog } from '@tillerstair/journal';

const rewrites = suite('the content of a rewritten log');

const mb = 1 << 20;
const readBytes = 100_000;
const recordsInOldLog = Buffer.from('records of the moment\n');

/** An old log in memory, whose chunks share one buffer as those of a file do. */
class GrowingLog implements OldLog {
  private content = recordsInOldLog;
  largestRead = 0;

  readonly size = (): number => this.content.length;

  readonly read = async function* (this: GrowingLog, start: number): AsyncGenerator<Buffer> {
    const buffer = Buffer.alloc(readBytes);
    for (let at = start; at < this.content.length; at += readBytes) {
      const length = this.content.copy(buffer, 0, at, at + readBytes);
      yield await Promise.resolve(buffer.subarray(0, length));
    }
  }.bind(this);

  append(letter: string, bytes: number): void {
    this.content = Buffer.concat([this.content, Buffer.alloc(bytes, letter)]);
  }

  get appended(): string {
    return this.content.toString('latin1', recordsInOldLog.length);
  }
}

/** Reads the chunks until appends are to be held; returns their text after the first, which has the records. */
const readUntilHeld = async (
  rewrite: LogRewrite,
  chunks: AsyncGenerator<Buffer>,
  onChunk: () => void = () => undefined,
): Promise<string> => {
  const texts: string[] = [];
  const held = rewrite.recordsWritten();
  for (;;) {
    const first = await Promise.race([chunks.next(), held]);
    if (!first) return texts.slice(1).join('');
    if (first.done) throw new Error('the rewrite ended without holding appends');
    texts.push(first.value.toString('latin1'));
    onChunk();
  }
};

// Guards against appends that wait for all that was appended during a long rewrite, and are kept in memory until then.
rewrites('what was appended meanwhile is written before appends are held', async () => {
  const log = new GrowingLog();
  const rewrite = new LogRewrite([{ n: 1 }], log);
  const chunks = rewrite.chunks();
  for (const letter of 'abc') log.append(letter, mb);
  assert.is(await readUntilHeld(rewrite, chunks), log.appended);
});

rewrites('what is appended last follows once appends are held', async () => {
  const log = new GrowingLog();
  const rewrite = new LogRewrite([{ n: 1 }], log);
  const texts: string[] = [];
  void rewrite.recordsWritten().then(() => {
    log.append('z', readBytes + 1);
    rewrite.holdAppends();
  });
  for await (const chunk of rewrite.chunks()) {
    if (texts.length === 0) log.append('a', mb);
    texts.push(chunk.toString('latin1'));
  }
  assert.is(texts.slice(1).join(''), log.appended);
  assert.is(rewrite.written.bytes, texts.join('').length);
});

rewrites('appends are held in the end however much is appended meanwhile', async () => {
  const log = new GrowingLog();
  const rewrite = new LogRewrite([{ n: 1 }], log);
  const chunks = rewrite.chunks();
  const maxAppends = 500;
  let appends = 0;
  log.append('a', mb);
  await readUntilHeld(rewrite, chunks, () => {
    if (appends++ < maxAppends) log.append('b', readBytes);
  });
  assert.ok(appends < maxAppends, `${appends} appends before they were held`);
});

rewrites('an aborted rewrite throws, also while appends are to be held', async () => {
  const rewrite = new LogRewrite([], new GrowingLog());
  const next = rewrite.chunks().next();
  await rewrite.recordsWritten();
  rewrite.abort();
  const error: unknown = await next.then(
    () => undefined,
    (thrown: unknown) => thrown,
  );
  assert.instance(error, RewriteAbortedError);
});

rewrites.run();
