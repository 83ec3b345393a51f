/** Programs belong to their tenant, and what they contain is missing only if a quorum says so. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { brief, gate, SessionOwnerRig, wholeReply } from '../support/session-owner-rig.js';
import {
  readHistory,
  runTurn,
  turn,
  turnValue,
  withProgram,
} from '../support/session-owner-turns.js';

const programs = suite('programs and their history');

programs('a program of another tenant is not there', async () => {
  const rig = await withProgram();
  const other = { tenant: 'other' };
  assert.is(
    brief(await rig.finish(rig.owner.turns.createProgram({ tenant: 'other', pid: 'p1' }))),
    'refused 404 missing',
  );
  assert.is(brief(await rig.finish(runTurn(rig, other))), 'refused 404 missing');
  assert.is(brief(await rig.finish(readHistory(rig, other))), 'refused 404 missing');
  assert.is(rig.sent.length, 0);
});

programs('a parent must be there and of the same tenant', async () => {
  const rig = await withProgram();
  for (const [tenant, parent, expected] of [
    ['t', 'p2', 'refused 404 missing'],
    ['other', 'p1', 'refused 404 missing'],
    ['t', 'p1', 'done 201'],
  ] as const)
    assert.is(
      brief(await rig.finish(rig.owner.turns.createProgram({ tenant, pid: 'p1~1', parent }))),
      expected,
    );
});

programs(
  "a program's budget is at most the configuration's, and a second request does not change it",
  async () => {
    const rig = await withProgram(1000);
    assert.equal((await rig.finish(readHistory(rig))).body, {
      program: 'p1',
      parent: null,
      budget: 100,
      spent: 0,
      turns: [],
    });
    const again = await rig.finish(
      rig.owner.turns.createProgram({ tenant: 't', pid: 'p1', budget: 7 }),
    );
    assert.equal(again.body, { program: 'p1', budget: 100 });
  },
);

programs(
  'a program is missing only if a quorum has none; else it cannot be read just now',
  async () => {
    const rig = await SessionOwnerRig.opened();
    assert.is(brief(await rig.finish(runTurn(rig))), 'refused 404 missing');
    rig.store('p/p1', { t: 'program', tenant: 't', budget: 50, parent: null });
    assert.is(brief(await rig.finish(runTurn(rig))), 'refused 503 unavailable');
    assert.is(brief(await rig.finish(readHistory(rig))), 'refused 503 unavailable');
    assert.is(rig.sent.length, 0);
  },
);

programs('the history tells running, missing and unreadable turns apart', async () => {
  const rig = await withProgram();
  const server = gate();
  rig.reply = () => ({ ...wholeReply, after: server.opened });
  const work = runTurn(rig);
  await rig.clock.run(10);
  assert.is(brief(await rig.finish(readHistory(rig, { turn }))), 'refused 409 running');
  server.open();
  await rig.finish(work);
  assert.is(brief(await rig.finish(readHistory(rig, { turn }))), 'done 200');
  assert.is(brief(await rig.finish(readHistory(rig, { turn: 't-none' }))), 'refused 404 missing');
  rig.store('p/p1/t/t-late', turnValue(rig));
  assert.is(
    brief(await rig.finish(readHistory(rig, { turn: 't-late' }))),
    'refused 503 unavailable',
  );
  rig.store('p/p1/t/t-void', { ...turnValue(rig), status: 'void' });
  await rig.transferAwayAndBack();
  assert.is(brief(await rig.finish(readHistory(rig, { turn: 't-void' }))), 'refused 404 missing');
});

programs.run();
