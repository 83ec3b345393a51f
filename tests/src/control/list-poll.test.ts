/** The master's poll of the server list: which readings it commits, and which ages it reports. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { ListPoll, ListReader, type ListedServer, type ServerList } from '@tillerstair/control';
import { SimClock } from '@tillerstair/sim';
import { applyServerList, type State } from '@tillerstair/state';
import { silentLogger } from '@tillerstair/wire';
import { sampleState } from '../support/sample-state.js';
import { ScriptedMaster } from '../support/scripted-master.js';

const poll = suite('poll of the server list');

const listedServer = (id: string): ListedServer => ({
  id,
  pool: 'p',
  url: 'http://127.0.0.1:1',
  zone: 'zone-0',
  places: 1,
  draining: false,
});

/** A list of these servers; reading it fails if they are undefined. */
class ScriptedList implements ServerList {
  servers: readonly ListedServer[] | undefined = [listedServer('a')];
  reads = 0;

  async read(): Promise<readonly ListedServer[]> {
    this.reads++;
    return this.servers ? Promise.resolve(this.servers) : Promise.reject(new Error('list is down'));
  }
}

const setUpPoll = (state: State = sampleState([])) => {
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

poll('a reading is committed to the state once, and a failed one changes nothing', async () => {
  const { clock, list, poll: polling, master } = setUpPoll();
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

poll('no ages are reported for another term, nor by a master that stepped down', async () => {
  const { clock, poll: polling, master } = setUpPoll();
  void polling.run(master);
  await clock.run(100);
  assert.is(polling.reported(2).age === null, false);
  assert.equal(polling.reported(3), { age: null, readAge: null });
  assert.equal(polling.reported(undefined), { age: null, readAge: null });
  const formerMaster = setUpPoll();
  const { submit } = formerMaster.master;
  const stepsDown = Object.assign(formerMaster.master, {
    submit: async (change: (state: State) => State) => {
      formerMaster.master.steppedDown.abort();
      return submit(change);
    },
  });
  void formerMaster.poll.run(stepsDown);
  await formerMaster.clock.run(100);
  assert.equal(formerMaster.poll.reported(2), { age: null, readAge: null });
});

poll('concurrent reads, and reads within the interval, share one reading', async () => {
  const { clock, list, reader } = setUpPoll();
  const both = Promise.all([reader.read(), reader.read()]);
  await clock.finish('both', both, 1000);
  await clock.finish('again', reader.read(), 1000);
  assert.is(list.reads, 1);
  await clock.run(500);
  await clock.finish('later', reader.read(), 1000);
  assert.is(list.reads, 2);
});

poll('a server that left the list is removed from the state, a draining one stays draining', () => {
  const draining = applyServerList(sampleState([]), [
    { ...listedServer('a'), draining: true },
    listedServer('b'),
  ]);
  const relisted = applyServerList(draining, [listedServer('a')]);
  assert.equal([...relisted.servers.keys()], ['a']);
  assert.is(relisted.servers.get('a')?.draining, true);
  const listedTwice = applyServerList(sampleState([]), [
    { ...listedServer('a'), draining: true },
    listedServer('a'),
  ]);
  assert.is(listedTwice.servers.get('a')?.draining, true);
  const downServers = new Map([['a', { ...listedServer('a'), down: true }]]);
  assert.is(
    applyServerList(sampleState([], { servers: downServers }), [listedServer('a')]).servers.get('a')
      ?.down,
    true,
  );
  assert.is(applyServerList(relisted, [listedServer('a')]), relisted);
});

poll.run();
