/** The operators' interface against a scripted master: statuses, bodies, refusals, and what each answer waits for. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { isReadOnly, operate, type OperatorResponse } from '@tillerstair/control';
import {
  minimumRememberedChanges,
  recordAcceptedChange,
  type State,
  type AcceptedChanges,
} from '@tillerstair/state';
import { RpcError } from '@tillerstair/wire';
import { sampleSlot, sampleState } from '../support/sample-state.js';
import { ScriptedMaster, type MasterScript } from '../support/scripted-master.js';

const operations = suite('operations');

const fileText = (more: object = {}): string =>
  JSON.stringify({
    base: 0,
    pools: [{ name: 'm', kind: 'model' }],
    routes: [
      { name: 'chat', match: { kind: 'turn', path: '/chat' }, shares: [{ pool: 'm', share: 1 }] },
    ],
    ...more,
  });

const ask = (
  master: ScriptedMaster,
  method: string,
  path: string,
  body: string | object = '',
): Promise<OperatorResponse> =>
  operate(master, { method, path, body: typeof body === 'string' ? body : JSON.stringify(body) });

const masterOf = (more: Partial<State> = {}, script: MasterScript = {}): ScriptedMaster =>
  new ScriptedMaster(sampleState(undefined, more), script);

const codeOf = (outcome: OperatorResponse): string =>
  /"errorCode":"([^"]*)"/.exec(JSON.stringify(outcome.body))?.[1] ?? '';

const statusAndCode = (outcome: OperatorResponse): readonly [number, string] => [
  outcome.status,
  codeOf(outcome),
];

const config = { version: 4, text: 'text 4', digest: 'd4', compiled: '{}', changeId: 'change 4' };
const accepted: AcceptedChanges = recordAcceptedChange(new Map(), 4, 'change 4');
const notRun = new RpcError('no-majority', 'no majority replied', 'no');
const unclear = new RpcError('superseded', 'not master any more', 'unknown');

operations('a configuration is acknowledged once it is committed and in force', async () => {
  const master = masterOf();
  const outcome = await ask(master, 'PUT', '/v1/config', fileText({ changeId: 'a' }));
  assert.is(outcome.status, 200);
  assert.equal(master.calls, ['submitConfirmed', 'waitUntilInForce']);
  assert.is(master.state.config?.version, 1);
  assert.equal(outcome.body, { version: 1, digest: master.state.config?.digest });
});

operations('a configuration with findings changes nothing and asks for no majority', async () => {
  const master = masterOf();
  const outcome = await ask(master, 'PUT', '/v1/config', fileText({ pools: [] }));
  assert.equal(statusAndCode(outcome), [422, 'findings']);
  assert.equal(master.calls, []);
});

operations('a configuration on another base is refused with the version in place', async () => {
  const master = masterOf({ config, acceptedChanges: accepted });
  const outcome = await ask(master, 'PUT', '/v1/config', fileText({ base: 3 }));
  assert.equal(outcome, {
    status: 409,
    body: {
      executed: 'no',
      errorCode: 'wrong-base',
      text: 'the configuration is at version 4',
      current: 4,
    },
  });
  assert.is(master.state.config, config);
});

operations('a change that was accepted is acknowledged again and not made again', async () => {
  const later = { ...config, version: 9 };
  const master = masterOf({ config: later, acceptedChanges: accepted });
  const again = fileText({ base: 3, version: 4, changeId: 'change 4' });
  const outcome = await ask(master, 'PUT', '/v1/config', again);
  assert.is(outcome.status, 200);
  assert.match(JSON.stringify(outcome.body), '"newest":9');
  assert.is(master.state.config, later);
  assert.equal(master.calls, ['submitConfirmed', 'waitUntilInForce']);
});

operations('a change older than the record is answered as unclear', async () => {
  let taken: AcceptedChanges = new Map();
  for (let version = 1; version <= minimumRememberedChanges + 100; version++)
    taken = recordAcceptedChange(taken, version, `change ${version}`);
  const master = masterOf({
    config: { ...config, version: minimumRememberedChanges + 100 },
    acceptedChanges: taken,
  });
  const old = fileText({ base: 0, version: 1, changeId: 'change 1' });
  const outcome = await ask(master, 'PUT', '/v1/config', old);
  assert.equal(statusAndCode(outcome), [504, 'unknown']);
  assert.match(JSON.stringify(outcome.body), '"how":"GET /v1/config"');
});

operations('a change whose end nobody knows is 504, one that surely was not made 503', async () => {
  const lost = await ask(masterOf({}, { publishError: unclear }), 'PUT', '/v1/config', fileText());
  assert.equal(statusAndCode(lost), [504, 'unknown']);
  assert.match(JSON.stringify(lost.body), '"digest":');
  const refused = await ask(
    masterOf({}, { publishError: notRun }),
    'PUT',
    '/v1/config',
    fileText(),
  );
  assert.equal(statusAndCode(refused), [503, 'no-majority']);
  for (const [error, expected] of [
    [unclear, [504, 'unknown']],
    [notRun, [503, 'no-majority']],
  ] as const) {
    const drain = await ask(masterOf({}, { publishError: error }), 'POST', '/v1/fronts/f1/drain');
    assert.equal(statusAndCode(drain), expected);
  }
});

operations('prepare tells whether a change was accepted, else the text it builds on', async () => {
  const body = { base: 4, version: 5, changeId: 'x' };
  const master = masterOf({ config, acceptedChanges: accepted });
  assert.equal(await ask(master, 'POST', '/v1/config/prepare', body), {
    status: 200,
    body: { taken: false, text: 'text 4' },
  });
  assert.equal(master.calls, ['confirm']);
  const again = masterOf({ config, acceptedChanges: accepted });
  const asked = { base: 3, version: 4, changeId: 'change 4' };
  assert.equal(await ask(again, 'POST', '/v1/config/prepare', asked), {
    status: 200,
    body: { taken: true, version: 4 },
  });
  assert.equal(again.calls, ['confirm', 'waitUntilInForce']);
});

operations('prepare is refused without a configuration, base, majority or sound body', async () => {
  const body = { base: 0, version: 5, changeId: 'x' };
  const path = '/v1/config/prepare';
  assert.equal(statusAndCode(await ask(masterOf(), 'POST', path, body)), [404, 'missing']);
  const placed = masterOf({ config, acceptedChanges: accepted });
  assert.equal(statusAndCode(await ask(placed, 'POST', path, body)), [409, 'wrong-base']);
  assert.equal(statusAndCode(await ask(placed, 'POST', path, '{')), [422, 'findings']);
  assert.equal(statusAndCode(await ask(placed, 'POST', path, { ...body, changeId: '' })), [
    422,
    'findings',
  ]);
  const alone = masterOf({ config, acceptedChanges: accepted }, { confirmError: notRun });
  assert.equal(statusAndCode(await ask(alone, 'POST', path, body)), [503, 'no-majority']);
  const doubtful = masterOf({ config, acceptedChanges: accepted }, { confirmError: unclear });
  const outcome = await ask(doubtful, 'POST', path, body);
  assert.equal(statusAndCode(outcome), [504, 'unknown']);
  assert.match(JSON.stringify(outcome.body), '"how":"ask again"');
});

operations('the configuration is read on the word of a majority', async () => {
  const master = masterOf({ config });
  assert.equal(await ask(master, 'GET', '/v1/config'), {
    status: 200,
    body: { version: 4, text: 'text 4', digest: 'd4', changeId: 'change 4' },
  });
  assert.equal(master.calls, ['confirm']);
  assert.equal(statusAndCode(await ask(masterOf(), 'GET', '/v1/config')), [404, 'missing']);
  const alone = masterOf({ config }, { confirmError: unclear });
  assert.equal(statusAndCode(await ask(alone, 'GET', '/v1/config')), [503, 'unavailable']);
});

operations('a page that does not exist is 404, a method that a page lacks 405', async () => {
  for (const path of ['/v2/status', '/v1/novel', '/v1/servers', '/v1/controls', '/v1/stores/s1'])
    assert.equal(statusAndCode(await ask(masterOf(), 'GET', path)), [404, 'no-such-page'], path);
  for (const [method, path] of [
    ['PUT', '/v1/stores/s1/empty'],
    ['GET', '/v1/fronts/f1/drain'],
    ['GET', '/v1/controls/c1'],
    ['POST', '/v1/status'],
    ['POST', '/v1/margin'],
    ['GET', '/v1/config/prepare'],
  ] as const)
    assert.equal(statusAndCode(await ask(masterOf(), method, path)), [404, 'no-such-page'], path);
  for (const [method, path] of [
    ['DELETE', '/v1/config'],
    ['GET', '/v1/servers/a'],
    ['PUT', '/v1/servers/a/draining'],
    ['DELETE', '/v1/servers/a/draining'],
    ['POST', '/v1/servers/a'],
  ] as const)
    assert.equal(
      statusAndCode(await ask(masterOf(), method, path)),
      [405, 'no-such-operation'],
      `${method} ${path}`,
    );
});

operations('a server is taken only with a pool and a URL by number', async () => {
  const path = '/v1/servers/a%20b';
  const master = masterOf();
  const url = 'http://127.0.0.1:80';
  assert.equal(statusAndCode(await ask(master, 'PUT', path, '{')), [400, 'bad-json']);
  for (const body of [
    { pool: '', url },
    { pool: 'p', url: 'http://host:80' },
    { pool: 'p', url, more: 1 },
  ])
    assert.equal(statusAndCode(await ask(master, 'PUT', path, body)), [422, 'findings']);
  assert.equal(master.calls, []);
  const server = { id: 'a b', pool: 'p', url, draining: false, down: false, zone: '', places: 0 };
  assert.equal(await ask(master, 'PUT', path, { pool: 'p', url }), { status: 200, body: server });
  assert.equal(await ask(master, 'POST', `${path}/draining`), {
    status: 200,
    body: { ...server, draining: true },
  });
  assert.equal(await ask(master, 'DELETE', path), { status: 200, body: { id: 'a b', gone: true } });
  assert.equal(statusAndCode(await ask(master, 'POST', `${path}/draining`)), [404, 'missing']);
  assert.equal(master.calls, [
    'submitConfirmed',
    'submitConfirmed',
    'submitConfirmed',
    'submitConfirmed',
  ]);
});

operations('a store is emptied by id, address or name, and again without a change', async () => {
  for (const id of ['s4', 's4:1', 's4-name']) {
    const master = masterOf();
    const outcome = await ask(master, 'POST', `/v1/stores/${id}/empty`);
    assert.is(outcome.status, 200);
    assert.ok(master.state.retiring.has('s4'));
    const before = master.state;
    assert.is((await ask(master, 'POST', `/v1/stores/${id}/empty`)).status, 200);
    assert.is(master.state, before);
    assert.is((await ask(master, 'DELETE', `/v1/stores/${id}/empty`)).status, 200);
    assert.is(master.state.retiring.size, 0);
  }
});

operations('an order to empty that nobody can carry out is refused', async () => {
  const master = masterOf({ retiring: new Map([['s3', 's3-name']]) });
  assert.equal(statusAndCode(await ask(master, 'POST', '/v1/stores/s4/empty')), [409, 'refused']);
  assert.equal(statusAndCode(await ask(master, 'POST', '/v1/stores/f1/empty')), [409, 'refused']);
  assert.equal(statusAndCode(await ask(master, 'POST', '/v1/stores/x/empty')), [404, 'missing']);
  assert.equal(statusAndCode(await ask(master, 'DELETE', '/v1/stores/x/empty')), [404, 'missing']);
  assert.equal([...master.state.retiring.keys()], ['s3']);
});

operations('an order to empty a store that is gone is acknowledged again, not given', async () => {
  const master = masterOf({ retiring: new Map([['s9', 's9-name']]) });
  assert.is((await ask(master, 'POST', '/v1/stores/s9-name/empty')).status, 200);
  assert.equal(statusAndCode(await ask(master, 'DELETE', '/v1/stores/s9-name/empty')), [
    404,
    'missing',
  ]);
});

operations('the last front is not drained, and no store is drained as a front', async () => {
  const master = masterOf();
  assert.equal(await ask(master, 'POST', '/v1/fronts/f1/drain'), {
    status: 200,
    body: { front: 'f1', retiring: true, slotsHeld: 1 },
  });
  assert.equal(statusAndCode(await ask(master, 'POST', '/v1/fronts/f2/drain')), [409, 'refused']);
  assert.equal(statusAndCode(await ask(master, 'POST', '/v1/fronts/s1/drain')), [409, 'refused']);
  assert.is((await ask(master, 'DELETE', '/v1/fronts/f1/drain')).status, 200);
  assert.is(master.state.retiring.size, 0);
});

const doneOf = async (more: Partial<State>, script: MasterScript = {}): Promise<boolean> => {
  const master = new ScriptedMaster(
    sampleState(more.slots ?? [sampleSlot({ replicas: ['s1', 's2', 's3'] })], more),
    script,
  );
  const outcome = await ask(master, 'GET', '/v1/stores/s4/empty');
  assert.is(outcome.status, 200);
  assert.equal(master.calls, ['pingPeers', 'confirm']);
  return JSON.stringify(outcome.body).includes('"done":true');
};

operations('emptying is done only when the store holds nothing and all others reply', async () => {
  const retiring = new Map([['s4', 's4-name']]);
  assert.is(await doneOf({ retiring }), true);
  assert.is(await doneOf({}), false, 'not ordered');
  const joining = sampleSlot({ joiningReplicas: ['s4'], replacedReplica: 's1' });
  assert.is(await doneOf({ retiring, slots: [joining] }), false, 'still named by a slot');
  assert.is(await doneOf({ retiring }, { repliedNodes: ['s1', 's2'] }), false, 's3 is silent');
});

operations('only stores that are known can be asked how far their emptying is', async () => {
  assert.equal(statusAndCode(await ask(masterOf(), 'GET', '/v1/stores/f1/empty')), [
    404,
    'missing',
  ]);
  assert.equal(statusAndCode(await ask(masterOf(), 'GET', '/v1/stores/x/empty')), [404, 'missing']);
  const master = masterOf({
    retiring: new Map([
      ['s8', 's9-name'],
      ['s9', 's9-name'],
    ]),
  });
  const outcome = await ask(master, 'GET', '/v1/stores/s9-name/empty');
  assert.match(JSON.stringify(outcome.body), '"store":"s9"');
});

operations('a control votes only with the newest state on its disk', async () => {
  const spare = { ...sampleState().nodes.get('c1'), id: 'c4', addr: 'c4:1', name: 'c4-name' };
  const base = sampleState();
  const nodes = new Map(base.nodes).set('c4', {
    id: spare.id,
    kind: 'control',
    addr: spare.addr,
    http: '',
    zone: '',
    data: '',
    name: spare.name,
  });
  const behind = masterOf({ nodes }, { syncedNodes: [] });
  assert.equal(statusAndCode(await ask(behind, 'POST', '/v1/controls/c4')), [409, 'refused']);
  const master = masterOf({ nodes });
  assert.equal(await ask(master, 'POST', '/v1/controls/c4-name'), {
    status: 200,
    body: { controls: ['c1', 'c2', 'c3', 'c4'] },
  });
  assert.equal(
    statusAndCode(await ask(master, 'DELETE', '/v1/controls/c1')),
    [409, 'refused'],
    'while another change is under way',
  );
});

operations('who is no control gets no vote, and the last vote is not taken', async () => {
  const master = masterOf();
  assert.equal(statusAndCode(await ask(master, 'POST', '/v1/controls/s1')), [409, 'refused']);
  assert.equal(statusAndCode(await ask(master, 'POST', '/v1/controls/x')), [404, 'missing']);
  assert.equal(statusAndCode(await ask(master, 'DELETE', '/v1/controls/s1')), [404, 'missing']);
  const single = masterOf({ voters: { current: ['c1'], next: ['c1'] } });
  assert.equal(statusAndCode(await ask(single, 'DELETE', '/v1/controls/c1')), [409, 'refused']);
});

operations('status and margin count nodes that replied after the call came', async () => {
  const master = masterOf({}, { repliedNodes: ['c1', 'c2', 's1', 's2'] });
  const margin = await ask(master, 'GET', '/v1/margin');
  assert.match(JSON.stringify(margin.body), '"leastSlotMargin":0');
  const status = await ask(master, 'GET', '/v1/status');
  assert.match(JSON.stringify(status.body), '"clusterId":"sample"');
  assert.equal(master.calls, ['pingPeers', 'confirm', 'pingPeers', 'confirm']);
  const alone = masterOf({}, { confirmError: notRun });
  assert.equal(statusAndCode(await ask(alone, 'GET', '/v1/status')), [503, 'unavailable']);
});

operations('reads are those that alter nothing however they end', () => {
  const read = (method: string, path: string): boolean => isReadOnly({ method, path, body: '' });
  assert.ok(read('GET', '/v1/status'));
  assert.ok(read('POST', '/v1/config/prepare'));
  assert.not(read('PUT', '/v1/config'));
  assert.not(read('DELETE', '/v1/servers/a'));
});

operations.run();
