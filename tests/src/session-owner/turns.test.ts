/** A turn is reserved before it is sent, sent at most once, and called done only once it is on a quorum. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  brief,
  codeOf,
  declinedReply,
  gate,
  lostReply,
  statusOf,
  wholeReply,
} from '../support/session-owner-rig.js';
import { configuration } from '../support/session-owner-state.js';
import {
  readHistory,
  runTurn,
  turn,
  turnKey,
  turnValue,
  withProgram,
} from '../support/session-owner-turns.js';

const turns = suite('turns of the own interface');

turns('the reservation is on a quorum before the turn is sent', async () => {
  const rig = await withProgram();
  assert.is(brief(await rig.finish(runTurn(rig))), 'done 200');
  const sentAt = rig.events.findIndex((line) => line.startsWith('send'));
  const before = rig.events.slice(0, sentAt).filter((line) => line === `put ${turnKey} reserved`);
  assert.ok(before.length >= 2, rig.events.join(', '));
  assert.is(turnValue(rig).cost, 3);
  assert.equal(rig.emitted, ['x', 'y', 'z']);
});

turns(
  'without a quorum for the reservation nothing is sent, and it is not counted for ever',
  async () => {
    const rig = await withProgram(10);
    rig.onPut = () => false;
    assert.is(brief(await rig.finish(runTurn(rig, { maxTokens: 8 }))), 'refused 503 unavailable');
    assert.is(rig.sent.length, 0);
    rig.onPut = () => true;
    assert.is(brief(await rig.finish(runTurn(rig, { maxTokens: 8, key: 'other' }))), 'done 200');
    assert.is(rig.sent[0]?.maxTokens, 8);
  },
);

turns('a turn is done only once it is on a quorum', async () => {
  const rig = await withProgram();
  rig.onPut = (_, status) => status !== 'done';
  assert.is(brief(await rig.finish(runTurn(rig))), 'unknown 504 unknown');
});

turns('who joins a turn that runs is looked up too', async () => {
  const rig = await withProgram();
  const server = gate();
  rig.reply = () => ({ ...wholeReply, after: server.opened });
  const first = runTurn(rig);
  await rig.clock.run(10);
  const stranger = runTurn(rig, { tenant: 'other' });
  const joined = runTurn(rig);
  server.open();
  assert.is(brief(await rig.finish(first)), 'done 200');
  assert.is(brief(await rig.finish(stranger)), 'refused 404 missing');
  assert.equal(await rig.finish(joined), await rig.finish(runTurn(rig)));
  assert.is(rig.sent.length, 1);
});

turns('a turn that is done is answered from its record, whoever asks again', async () => {
  const rig = await withProgram();
  const first = await rig.finish(runTurn(rig));
  rig.emitted.length = 0;
  assert.equal(await rig.finish(runTurn(rig)), first);
  assert.equal(rig.emitted, ['x', 'y', 'z']);
  assert.is(rig.sent.length, 1);
});

turns('the same key with other words is refused', async () => {
  const rig = await withProgram();
  await rig.finish(runTurn(rig));
  assert.is(brief(await rig.finish(runTurn(rig, { words: 'else' }))), 'refused 422 other-body');
  assert.is(rig.sent.length, 1);
});

turns('a turn that broke off, or of an earlier ownership, is not run again', async () => {
  const rig = await withProgram();
  rig.reply = () => lostReply;
  assert.is(brief(await rig.finish(runTurn(rig))), 'unknown 504 broken-off');
  assert.is(statusOf(rig.stored(turnKey)), 'failed');
  assert.is(brief(await rig.finish(runTurn(rig))), 'unknown 504 broken-off');
  assert.is(brief(await rig.finish(readHistory(rig, { turn }))), 'unknown 504 broken-off');
  rig.store(turnKey, { ...turnValue(rig), status: 'reserved' });
  await rig.transferAwayAndBack();
  assert.is(brief(await rig.finish(runTurn(rig))), 'unknown 504 broken-off');
  assert.is(rig.sent.length, 1);
});

turns('a turn without a route is refused', async () => {
  const rig = await withProgram();
  assert.is(brief(await rig.finish(runTurn(rig, { path: '/none' }))), 'refused 404 no-route');
});

turns('what it goes on from must be there and have finished', async () => {
  const rig = await withProgram();
  assert.is(brief(await rig.finish(runTurn(rig, { after: 't-none' }))), 'refused 404 missing-turn');
  const first = { t: 'turn', after: null, digest: '', words: 'w', pool: 'models', server: 'm1' };
  rig.store('p/p1/t/t-late', { ...first, status: 'done', cost: 0, chunks: [] });
  assert.is(brief(await rig.finish(runTurn(rig, { after: 't-late' }))), 'refused 503 unavailable');
  for (const [status, expected] of [
    ['reserved', 'refused 409 not-finished'],
    ['failed', 'refused 409 not-finished'],
    ['void', 'refused 404 missing-turn'],
    ['done', 'done 200'],
  ] as const) {
    rig.store(`p/p1/t/t-${status}`, { ...first, status, cost: 0, chunks: ['said'] });
    await rig.transferAwayAndBack();
    const outcome = await rig.finish(runTurn(rig, { after: `t-${status}`, key: status }));
    assert.is(brief(outcome), expected);
  }
  assert.equal(
    rig.sent.map((sent) => sent.messages),
    [
      [
        { role: 'user', text: 'w' },
        { role: 'assistant', text: 'said' },
        { role: 'user', text: 'hello' },
      ],
    ],
  );
});

turns(
  'no turn is reserved beyond the budget, and one that spends it is cut to what there is',
  async () => {
    const rig = await withProgram(5);
    assert.is(brief(await rig.finish(runTurn(rig))), 'done 200');
    assert.is(rig.sent[0]?.maxTokens, 5);
    rig.reply = () => ({
      ...wholeReply,
      chunks: [
        [0, 'x'],
        [1, 'y'],
      ],
      ended: { kind: 'done', code: 200, body: 2 },
    });
    await rig.finish(runTurn(rig, { key: 'second' }));
    assert.is(rig.sent[1]?.maxTokens, 2);
    assert.is(brief(await rig.finish(runTurn(rig, { key: 'third' }))), 'refused 402 budget-spent');
    assert.is(rig.sent.length, 2);
  },
);

turns('a reservation that is being written counts against the budget', async () => {
  const rig = await withProgram(8);
  const [first, second] = [runTurn(rig), runTurn(rig, { key: 'second' })];
  const outcomes = [brief(await rig.finish(first)), brief(await rig.finish(second))];
  assert.equal(outcomes.sort(), ['done 200', 'refused 402 budget-spent']);
  assert.is(rig.sent.length, 1);
});

turns('a turn that waited in line looks at the budget again', async () => {
  const rig = await withProgram(8);
  rig.removeServers('m2');
  rig.configure({ ...configuration, bounds: { ...configuration.bounds, perServer: 1 } });
  const server = gate();
  rig.reply = () => ({
    ended: { kind: 'done', code: 200, body: 8 },
    chunks: Array.from({ length: 8 }, (_, n) => [n, 'x'] as const),
    after: server.opened,
  });
  await rig.finish(rig.owner.turns.createProgram({ tenant: 't', pid: 'p2', budget: 50 }));
  const busy = runTurn(rig, { pid: 'p2' });
  await rig.clock.run(10);
  const [second, third] = [runTurn(rig, { key: 'second' }), runTurn(rig, { key: 'third' })];
  await rig.clock.run(10);
  server.open();
  const outcomes = [];
  for (const work of [busy, second, third]) outcomes.push(brief(await rig.finish(work)));
  assert.equal(outcomes, ['done 200', 'done 200', 'refused 402 budget-spent']);
  assert.is(rig.sent.length, 2);
});

turns('a turn that finds no server in time is refused as not run', async () => {
  const rig = await withProgram();
  rig.reply = () => declinedReply;
  rig.removeServers('m2');
  assert.is(brief(await rig.finish(runTurn(rig))), 'refused 503 no-server');
  assert.is(statusOf(rig.stored(turnKey)), 'void');
  assert.is(turnValue(rig).cost, 0);
  rig.reply = () => wholeReply;
  assert.is(brief(await rig.finish(runTurn(rig))), 'done 200');
});

turns(
  'time that passes with the reservation counts, and an attempt after it is not begun',
  async () => {
    const rig = await withProgram();
    const putAt: number[] = [];
    rig.reply = (n) => {
      if (n > 0) return wholeReply;
      const late = gate();
      rig.clock.after(2100, late.open);
      return { ...declinedReply, after: late.opened };
    };
    rig.onPut = () => {
      putAt.push(rig.clock.now());
      return true;
    };
    assert.is(brief(await rig.finish(runTurn(rig))), 'refused 503 queue-timeout');
    assert.is(rig.sent.length, 1);
  },
);

turns('a caller that goes while the reservation is written gets nothing run', async () => {
  const rig = await withProgram();
  const caller = new AbortController();
  rig.onPut = () => {
    caller.abort();
    return true;
  };
  assert.is(brief(await rig.finish(runTurn(rig, {}, caller.signal))), 'refused 503 gone');
  assert.is(rig.sent.length, 0);
  assert.is(statusOf(rig.stored(turnKey)), 'void');
});

turns('an owner whose read lease ran out sends nothing', async () => {
  const rig = await withProgram();
  rig.onPut = () => {
    rig.leaseMs = 0;
    return true;
  };
  assert.is(brief(await rig.finish(runTurn(rig))), 'refused 503 not-ready');
  assert.is(rig.sent.length, 0);
});

turns('a server that drains meanwhile gets nothing, another one does', async () => {
  const rig = await withProgram();
  rig.removeServers('m2');
  rig.onPut = (_, status) => {
    if (status === 'reserved') rig.changeServer('m1', { draining: true });
    return true;
  };
  assert.is(brief(await rig.finish(runTurn(rig))), 'refused 503 no-server');
  assert.is(rig.sent.length, 0);
});

turns('whether it may go is asked again just before the first byte', async () => {
  const rig = await withProgram();
  rig.beforeSend = () => {
    rig.leaseMs = 0;
  };
  assert.is((await rig.finish(runTurn(rig))).outcome, 'refused');
  assert.is(rig.sent.length, 0);
});

turns('declined, it goes to another server; lost, it does not', async () => {
  const declined = await withProgram();
  declined.reply = (n) => (n === 0 ? declinedReply : wholeReply);
  assert.is(brief(await declined.finish(runTurn(declined))), 'done 200');
  assert.is(new Set(declined.sent.map((sent) => sent.server)).size, 2);
  const lost = await withProgram();
  lost.reply = (n) => (n === 0 ? lostReply : wholeReply);
  assert.is(brief(await lost.finish(runTurn(lost))), 'unknown 504 broken-off');
  assert.is(lost.sent.length, 1);
});

turns(
  'an answer with a gap, too long, or shorter than the server says has broken off',
  async () => {
    for (const reply of [
      {
        ...wholeReply,
        chunks: [
          [0, 'x'],
          [2, 'z'],
          [1, 'y'],
        ] as const,
      },
      { ...wholeReply, chunks: [[0, 'x']] as const },
      {
        chunks: Array.from({ length: 9 }, (_, n) => [n, 'x'] as const),
        ended: { kind: 'done', code: 200, body: 8 } as const,
      },
    ]) {
      const rig = await withProgram();
      rig.reply = () => reply;
      assert.is(brief(await rig.finish(runTurn(rig))), 'unknown 504 broken-off');
      assert.is(statusOf(rig.stored(turnKey)), 'failed');
      assert.ok(rig.emitted.length <= 8);
    }
  },
);

turns('a caller that goes stops the server, and the turn has broken off', async () => {
  const rig = await withProgram();
  const caller = new AbortController();
  rig.reply = (_, sent) => {
    caller.abort();
    assert.is(sent.stop.aborted, true);
    return wholeReply;
  };
  assert.is(brief(await rig.finish(runTurn(rig, {}, caller.signal))), 'unknown 504 broken-off');
});

turns('a slot is not released while one of its turns is under way', async () => {
  const rig = await withProgram();
  const server = gate();
  rig.reply = () => ({ ...wholeReply, after: server.opened });
  const work = runTurn(rig);
  await rig.clock.run(10);
  rig.changeSlot({ transferTarget: 'f2' });
  assert.equal(rig.owner.releaseIdleSlots(), []);
  server.open();
  await rig.finish(work);
  assert.equal(rig.owner.releaseIdleSlots(), [[0, 1]]);
  assert.is(await codeOf(() => runTurn(rig, { key: 'next' })), 'taking-over');
});

turns.run();
turns.run();
