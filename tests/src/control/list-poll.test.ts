/** The master's poll of the server list: which readings it takes over, and what it reports of them. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { ListPoll, ListReader, type ListedServer, type ServerList } from '@tillerstair/control';
import { SimClock } from '@tillerstair/sim';
import { applyServerList, type State } from '@tillerstair/state';
import { silentLogger } from '@tillerstair/wire';
import { sampleState } from '../support/sample-state.js';
import { ScriptedMaster } from '../support/scripted-master.js';

const poll = suite('poll of the server list');

const listed = (id: string): ListedServer => ({
  id,
  pool: 'p',
  url: 'http://127.0.0.1:1',
  zone: 'zone-0',
  places: 1,
  draining: false,
});

/** A list that shows these servers, or fails where there are none. */
class ScriptedList implements ServerList {
  servers: readonly ListedServer[] | undefined = [listed('a')];
  reads = 0;

  async read(): Promise<readonly ListedServer[]> {
    this.reads++;
    return this.servers ? Promise.resolve(this.servers) : Promise.reject(new Error('list is down'));
  }
}

const started = (state: State = sampleState([])) => {
  const clock = new SimClock();
  const list = new ScriptedList();
  const reader = new ListReader(clock, list, { listReadInterval: 500 }, silentLogger);
  return {
    clock,
    list,
    reader,
    poll: new ListPoll(clock, reader),
    master: new ScriptedMaster(state),
  };
};

const serverIds = (master: ScriptedMaster): readonly string[] => [...master.state.servers.keys()];

poll('a reading is taken into the state once, and a failed one alters nothing', async () => {
  const { clock, list, poll: polling, master } = started();
  void polling.run(master);
  await clock.run(100);
  assert.equal(serverIds(master), ['a']);
  assert.equal(master.calls, ['submit']);
  await clock.run(1000);
  assert.equal(master.calls, ['submit'], 'an unchanged list needs no publish');
  list.servers = undefined;
  await clock.run(1000);
  assert.equal(serverIds(master), ['a']);
  const { age, readAge } = polling.reported(2);
  assert.ok((age ?? Infinity) <= 500 && (readAge ?? 0) >= 1000, `${age} ${readAge}`);
  master.steppedDown.abort();
});

poll('nothing is reported for another term, nor by a master that stepped down', async () => {
  const { clock, poll: polling, master } = started();
  void polling.run(master);
  await clock.run(100);
  assert.is(polling.reported(2).age === null, false);
  assert.equal(polling.reported(3), { age: null, readAge: null });
  assert.equal(polling.reported(undefined), { age: null, readAge: null });
  const deposed = started();
  const { submit } = deposed.master;
  const stepsDown = Object.assign(deposed.master, {
    submit: async (change: (state: State) => State) => {
      deposed.master.steppedDown.abort();
      return submit(change);
    },
  });
  void deposed.poll.run(stepsDown);
  await deposed.clock.run(100);
  assert.equal(deposed.poll.reported(2), { age: null, readAge: null });
});

poll('readings that are asked for at once, or soon again, are one reading', async () => {
  const { clock, list, reader } = started();
  const both = Promise.all([reader.read(), reader.read()]);
  await clock.finish('both', both, 1000);
  await clock.finish('again', reader.read(), 1000);
  assert.is(list.reads, 1);
  await clock.run(500);
  await clock.finish('later', reader.read(), 1000);
  assert.is(list.reads, 2);
});

poll('a server that left the list leaves the state, a draining one stays draining', () => {
  const draining = applyServerList(sampleState([]), [
    { ...listed('a'), draining: true },
    listed('b'),
  ]);
  const again = applyServerList(draining, [listed('a')]);
  assert.equal([...again.servers.keys()], ['a']);
  assert.is(again.servers.get('a')?.draining, true);
  const twice = applyServerList(sampleState([]), [{ ...listed('a'), draining: true }, listed('a')]);
  assert.is(twice.servers.get('a')?.draining, true);
  const down = new Map([['a', { ...listed('a'), down: true }]]);
  assert.is(
    applyServerList(sampleState([], { servers: down }), [listed('a')]).servers.get('a')?.down,
    true,
  );
  assert.is(applyServerList(again, [listed('a')]), again);
});

poll.run();
