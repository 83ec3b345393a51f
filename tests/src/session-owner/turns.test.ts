/** A turn is reserved before it is sent, sent at most once, and reported as done only once a quorum stores it. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  textOf,
  codeOf,
  declinedReply,
  gate,
  lostReply,
  statusOf,
  fullReply,
} from '../support/session-owner-fixture.js';
import { configuration } from '../support/session-owner-state.js';
import {
  readHistory,
  runTurn,
  turnId,
  turnKey,
  turnValue,
  withProgram,
} from '../support/session-owner-turns.js';

const turns = suite("turns of the product's own interface");

turns('a quorum stores the reservation before the turn is sent', async () => {
  const fixture = await withProgram();
  assert.is(textOf(await fixture.finish(runTurn(fixture))), 'done 200');
  const sentAt = fixture.events.findIndex((line) => line.startsWith('send'));
  const before = fixture.events
    .slice(0, sentAt)
    .filter((line) => line === `put ${turnKey} reserved`);
  assert.ok(before.length >= 2, fixture.events.join(', '));
  assert.is(turnValue(fixture).cost, 3);
  assert.equal(fixture.emitted, ['x', 'y', 'z']);
});

turns(
  'without a quorum for the reservation nothing is sent, and the reservation stops counting',
  async () => {
    const fixture = await withProgram(10);
    fixture.onPut = () => false;
    assert.is(
      textOf(await fixture.finish(runTurn(fixture, { maxTokens: 8 }))),
      'refused 503 unavailable',
    );
    assert.is(fixture.sent.length, 0);
    fixture.onPut = () => true;
    assert.is(
      textOf(await fixture.finish(runTurn(fixture, { maxTokens: 8, key: 'other' }))),
      'done 200',
    );
    assert.is(fixture.sent[0]?.maxTokens, 8);
  },
);

turns('a turn is done only once a quorum stores it', async () => {
  const fixture = await withProgram();
  fixture.onPut = (_, status) => status !== 'done';
  assert.is(textOf(await fixture.finish(runTurn(fixture))), 'unknown 504 unknown');
});

turns('access to the program is also checked for a caller that joins a running turn', async () => {
  const fixture = await withProgram();
  const server = gate();
  fixture.reply = () => ({ ...fullReply, after: server.opened });
  const first = runTurn(fixture);
  await fixture.clock.run(10);
  const otherTenant = runTurn(fixture, { tenant: 'other' });
  const joined = runTurn(fixture);
  server.open();
  assert.is(textOf(await fixture.finish(first)), 'done 200');
  assert.is(textOf(await fixture.finish(otherTenant)), 'refused 404 missing');
  assert.equal(await fixture.finish(joined), await fixture.finish(runTurn(fixture)));
  assert.is(fixture.sent.length, 1);
});

turns('a repeated request for a finished turn is answered from its record', async () => {
  const fixture = await withProgram();
  const first = await fixture.finish(runTurn(fixture));
  fixture.emitted.length = 0;
  assert.equal(await fixture.finish(runTurn(fixture)), first);
  assert.equal(fixture.emitted, ['x', 'y', 'z']);
  assert.is(fixture.sent.length, 1);
});

turns('a request with the key of another turn and different words is refused', async () => {
  const fixture = await withProgram();
  await fixture.finish(runTurn(fixture));
  assert.is(
    textOf(await fixture.finish(runTurn(fixture, { words: 'else' }))),
    'refused 422 other-body',
  );
  assert.is(fixture.sent.length, 1);
});

turns(
  'a turn that broke off, or was reserved in an earlier ownership, is not run again',
  async () => {
    const fixture = await withProgram();
    fixture.reply = () => lostReply;
    assert.is(textOf(await fixture.finish(runTurn(fixture))), 'unknown 504 broken-off');
    assert.is(statusOf(fixture.stored(turnKey)), 'failed');
    assert.is(textOf(await fixture.finish(runTurn(fixture))), 'unknown 504 broken-off');
    assert.is(
      textOf(await fixture.finish(readHistory(fixture, { turn: turnId }))),
      'unknown 504 broken-off',
    );
    fixture.store(turnKey, { ...turnValue(fixture), status: 'reserved' });
    await fixture.transferAwayAndBack();
    assert.is(textOf(await fixture.finish(runTurn(fixture))), 'unknown 504 broken-off');
    assert.is(fixture.sent.length, 1);
  },
);

turns('a turn without a route is refused', async () => {
  const fixture = await withProgram();
  assert.is(
    textOf(await fixture.finish(runTurn(fixture, { path: '/none' }))),
    'refused 404 no-route',
  );
});

turns('the turn that a turn follows must exist and have finished', async () => {
  const fixture = await withProgram();
  assert.is(
    textOf(await fixture.finish(runTurn(fixture, { after: 't-none' }))),
    'refused 404 missing-turn',
  );
  const previousTurn = {
    t: 'turn',
    after: null,
    digest: '',
    words: 'w',
    pool: 'models',
    server: 'm1',
  };
  fixture.store('p/p1/t/t-late', { ...previousTurn, status: 'done', cost: 0, chunks: [] });
  assert.is(
    textOf(await fixture.finish(runTurn(fixture, { after: 't-late' }))),
    'refused 503 unavailable',
  );
  for (const [status, expected] of [
    ['reserved', 'refused 409 not-finished'],
    ['failed', 'refused 409 not-finished'],
    ['void', 'refused 404 missing-turn'],
    ['done', 'done 200'],
  ] as const) {
    fixture.store(`p/p1/t/t-${status}`, { ...previousTurn, status, cost: 0, chunks: ['said'] });
    await fixture.transferAwayAndBack();
    const outcome = await fixture.finish(runTurn(fixture, { after: `t-${status}`, key: status }));
    assert.is(textOf(outcome), expected);
  }
  assert.equal(
    fixture.sent.map((sent) => sent.messages),
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
  'no turn is reserved beyond the budget, and the last turn is limited to the tokens that remain',
  async () => {
    const fixture = await withProgram(5);
    assert.is(textOf(await fixture.finish(runTurn(fixture))), 'done 200');
    assert.is(fixture.sent[0]?.maxTokens, 5);
    fixture.reply = () => ({
      ...fullReply,
      chunks: [
        [0, 'x'],
        [1, 'y'],
      ],
      ended: { kind: 'done', code: 200, body: 2 },
    });
    await fixture.finish(runTurn(fixture, { key: 'second' }));
    assert.is(fixture.sent[1]?.maxTokens, 2);
    assert.is(
      textOf(await fixture.finish(runTurn(fixture, { key: 'third' }))),
      'refused 402 budget-spent',
    );
    assert.is(fixture.sent.length, 2);
  },
);

turns('a reservation that is being written counts against the budget', async () => {
  const fixture = await withProgram(8);
  const [first, second] = [runTurn(fixture), runTurn(fixture, { key: 'second' })];
  const outcomes = [textOf(await fixture.finish(first)), textOf(await fixture.finish(second))];
  assert.equal(outcomes.sort(), ['done 200', 'refused 402 budget-spent']);
  assert.is(fixture.sent.length, 1);
});

turns('the budget is checked again after a turn has waited for a server', async () => {
  const fixture = await withProgram(8);
  fixture.removeServers('m2');
  fixture.configure({ ...configuration, bounds: { ...configuration.bounds, perServer: 1 } });
  const server = gate();
  fixture.reply = () => ({
    ended: { kind: 'done', code: 200, body: 8 },
    chunks: Array.from({ length: 8 }, (_, index) => [index, 'x'] as const),
    after: server.opened,
  });
  await fixture.finish(fixture.owner.turns.createProgram({ tenant: 't', pid: 'p2', budget: 50 }));
  const occupyingTurn = runTurn(fixture, { pid: 'p2' });
  await fixture.clock.run(10);
  const [second, third] = [runTurn(fixture, { key: 'second' }), runTurn(fixture, { key: 'third' })];
  await fixture.clock.run(10);
  server.open();
  const outcomes = [];
  for (const work of [occupyingTurn, second, third])
    outcomes.push(textOf(await fixture.finish(work)));
  assert.equal(outcomes, ['done 200', 'done 200', 'refused 402 budget-spent']);
  assert.is(fixture.sent.length, 2);
});

turns(
  'a turn that no server accepts is refused as not run, and its reservation becomes void',
  async () => {
    const fixture = await withProgram();
    fixture.reply = () => declinedReply;
    fixture.removeServers('m2');
    assert.is(textOf(await fixture.finish(runTurn(fixture))), 'refused 503 no-server');
    assert.is(statusOf(fixture.stored(turnKey)), 'void');
    assert.is(turnValue(fixture).cost, 0);
    fixture.reply = () => fullReply;
    assert.is(textOf(await fixture.finish(runTurn(fixture))), 'done 200');
  },
);

turns(
  'no further attempt begins after the placement deadline, which includes earlier attempts',
  async () => {
    const fixture = await withProgram();
    const putAt: number[] = [];
    fixture.reply = (index) => {
      if (index > 0) return fullReply;
      const lateReply = gate();
      fixture.clock.after(2100, lateReply.open);
      return { ...declinedReply, after: lateReply.opened };
    };
    fixture.onPut = () => {
      putAt.push(fixture.clock.now());
      return true;
    };
    assert.is(textOf(await fixture.finish(runTurn(fixture))), 'refused 503 queue-timeout');
    assert.is(fixture.sent.length, 1);
  },
);

turns('nothing is sent if the caller disconnects while the reservation is written', async () => {
  const fixture = await withProgram();
  const caller = new AbortController();
  fixture.onPut = () => {
    caller.abort();
    return true;
  };
  assert.is(textOf(await fixture.finish(runTurn(fixture, {}, caller.signal))), 'refused 503 gone');
  assert.is(fixture.sent.length, 0);
  assert.is(statusOf(fixture.stored(turnKey)), 'void');
});

turns('an owner whose read lease has expired sends nothing', async () => {
  const fixture = await withProgram();
  fixture.onPut = () => {
    fixture.leaseMs = 0;
    return true;
  };
  assert.is(textOf(await fixture.finish(runTurn(fixture))), 'refused 503 not-ready');
  assert.is(fixture.sent.length, 0);
});

turns('a server that begins to drain while the reservation is written gets nothing', async () => {
  const fixture = await withProgram();
  fixture.removeServers('m2');
  fixture.onPut = (_, status) => {
    if (status === 'reserved') fixture.changeServer('m1', { draining: true });
    return true;
  };
  assert.is(textOf(await fixture.finish(runTurn(fixture))), 'refused 503 no-server');
  assert.is(fixture.sent.length, 0);
});

turns('whether the turn may be sent is checked again just before the first byte', async () => {
  const fixture = await withProgram();
  fixture.beforeSend = () => {
    fixture.leaseMs = 0;
  };
  assert.is((await fixture.finish(runTurn(fixture))).outcome, 'refused');
  assert.is(fixture.sent.length, 0);
});

turns('a declined turn is sent to another server; a lost one is not', async () => {
  const declined = await withProgram();
  declined.reply = (index) => (index === 0 ? declinedReply : fullReply);
  assert.is(textOf(await declined.finish(runTurn(declined))), 'done 200');
  assert.is(new Set(declined.sent.map((sent) => sent.server)).size, 2);
  const lost = await withProgram();
  lost.reply = (index) => (index === 0 ? lostReply : fullReply);
  assert.is(textOf(await lost.finish(runTurn(lost))), 'unknown 504 broken-off');
  assert.is(lost.sent.length, 1);
});

turns(
  'a response with a gap, too many chunks, or fewer chunks than the server states breaks the turn off',
  async () => {
    for (const reply of [
      {
        ...fullReply,
        chunks: [
          [0, 'x'],
          [2, 'z'],
          [1, 'y'],
        ] as const,
      },
      { ...fullReply, chunks: [[0, 'x']] as const },
      {
        chunks: Array.from({ length: 9 }, (_, index) => [index, 'x'] as const),
        ended: { kind: 'done', code: 200, body: 8 } as const,
      },
    ]) {
      const fixture = await withProgram();
      fixture.reply = () => reply;
      assert.is(textOf(await fixture.finish(runTurn(fixture))), 'unknown 504 broken-off');
      assert.is(statusOf(fixture.stored(turnKey)), 'failed');
      assert.ok(fixture.emitted.length <= 8);
    }
  },
);

turns('a caller that disconnects stops the server and breaks the turn off', async () => {
  const fixture = await withProgram();
  const caller = new AbortController();
  fixture.reply = (_, sent) => {
    caller.abort();
    assert.is(sent.stop.aborted, true);
    return fullReply;
  };
  assert.is(
    textOf(await fixture.finish(runTurn(fixture, {}, caller.signal))),
    'unknown 504 broken-off',
  );
});

turns('a slot is not released while one of its turns is in flight', async () => {
  const fixture = await withProgram();
  const server = gate();
  fixture.reply = () => ({ ...fullReply, after: server.opened });
  const runningTurn = runTurn(fixture);
  await fixture.clock.run(10);
  fixture.changeSlot({ transferTarget: 'f2' });
  assert.equal(fixture.owner.releaseIdleSlots(), []);
  server.open();
  await fixture.finish(runningTurn);
  assert.equal(fixture.owner.releaseIdleSlots(), [[0, 1]]);
  assert.is(await codeOf(() => runTurn(fixture, { key: 'next' })), 'taking-over');
});

turns.run();
turns.run();
