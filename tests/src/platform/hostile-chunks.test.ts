/** A crowd whose requests have bodies in tiny chunks, against a front. */
import { suite } from 'uvu';
import { outlastCrowds } from '../support/crowd.js';
import { requestHead, startCrowdFixture, type CrowdFixture } from '../support/crowd-fixture.js';

const chunks = suite('bodies in tiny chunks');

let fixture: CrowdFixture;

chunks.before.each(async () => {
  fixture = await startCrowdFixture();
});

chunks.after.each(() => fixture.close());

// Guards against one object for each chunk of a body.
chunks('bodies in tiny chunks', async () => {
  const message = (round: number): string =>
    (round === 0 ? requestHead('POST', '/again/silent', ['Transfer-Encoding: chunked']) : '') +
    '1\r\nx\r\n'.repeat(9900);
  const { front } = fixture.system.ports;
  await outlastCrowds(fixture, [{ port: front, clients: 100, rounds: 20, message }]);
});

chunks.run();
