/** Programs are visible to their tenant only; a program or turn counts as missing only if a quorum does not have it. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { textOf, gate, SessionOwnerFixture, fullReply } from '../support/session-owner-fixture.js';
import {
  readHistory,
  runTurn,
  turnId,
  turnValue,
  withProgram,
} from '../support/session-owner-turns.js';

const programs = suite('programs and their history');

programs('a program of another tenant is reported as missing', async () => {
  const fixture = await withProgram();
  const other = { tenant: 'other' };
  assert.is(
    textOf(await fixture.finish(fixture.owner.turns.createProgram({ tenant: 'other', pid: 'p1' }))),
    'refused 404 missing',
  );
  assert.is(textOf(await fixture.finish(runTurn(fixture, other))), 'refused 404 missing');
  assert.is(textOf(await fixture.finish(readHistory(fixture, other))), 'refused 404 missing');
  assert.is(fixture.sent.length, 0);
});

programs('a parent program must exist and belong to the same tenant', async () => {
  const fixture = await withProgram();
  for (const [tenant, parent, expected] of [
    ['t', 'p2', 'refused 404 missing'],
    ['other', 'p1', 'refused 404 missing'],
    ['t', 'p1', 'done 201'],
  ] as const)
    assert.is(
      textOf(
        await fixture.finish(fixture.owner.turns.createProgram({ tenant, pid: 'p1~1', parent })),
      ),
      expected,
    );
});

programs(
  "a program's budget is limited by the configuration, and a second request does not change it",
  async () => {
    const fixture = await withProgram(1000);
    assert.equal((await fixture.finish(readHistory(fixture))).body, {
      program: 'p1',
      parent: null,
      budget: 100,
      spent: 0,
      turns: [],
    });
    const secondResponse = await fixture.finish(
      fixture.owner.turns.createProgram({ tenant: 't', pid: 'p1', budget: 7 }),
    );
    assert.equal(secondResponse.body, { program: 'p1', budget: 100 });
  },
);

programs(
  'a program that replicas store but the owner has not loaded is unavailable, not missing',
  async () => {
    const fixture = await SessionOwnerFixture.opened();
    assert.is(textOf(await fixture.finish(runTurn(fixture))), 'refused 404 missing');
    fixture.store('p/p1', { t: 'program', tenant: 't', budget: 50, parent: null });
    assert.is(textOf(await fixture.finish(runTurn(fixture))), 'refused 503 unavailable');
    assert.is(textOf(await fixture.finish(readHistory(fixture))), 'refused 503 unavailable');
    assert.is(fixture.sent.length, 0);
  },
);

programs('the history distinguishes running, missing and unreadable turns', async () => {
  const fixture = await withProgram();
  const server = gate();
  fixture.reply = () => ({ ...fullReply, after: server.opened });
  const runningTurn = runTurn(fixture);
  await fixture.clock.run(10);
  assert.is(
    textOf(await fixture.finish(readHistory(fixture, { turn: turnId }))),
    'refused 409 running',
  );
  server.open();
  await fixture.finish(runningTurn);
  assert.is(textOf(await fixture.finish(readHistory(fixture, { turn: turnId }))), 'done 200');
  assert.is(
    textOf(await fixture.finish(readHistory(fixture, { turn: 't-none' }))),
    'refused 404 missing',
  );
  fixture.store('p/p1/t/t-late', turnValue(fixture));
  assert.is(
    textOf(await fixture.finish(readHistory(fixture, { turn: 't-late' }))),
    'refused 503 unavailable',
  );
  fixture.store('p/p1/t/t-void', { ...turnValue(fixture), status: 'void' });
  await fixture.transferAwayAndBack();
  assert.is(
    textOf(await fixture.finish(readHistory(fixture, { turn: 't-void' }))),
    'refused 404 missing',
  );
});

programs.run();
