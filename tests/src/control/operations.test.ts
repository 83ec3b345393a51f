/**
 * The operators' interface with a scripted master: statuses, bodies, refusals, and the calls on the master before each
 * response.
 */
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

const fileText = (overrides: object = {}): string =>
  JSON.stringify({
    base: 0,
    pools: [{ name: 'm', kind: 'model' }],
    routes: [
      { name: 'chat', match: { kind: 'turn', path: '/chat' }, shares: [{ pool: 'm', share: 1 }] },
    ],
    ...overrides,
  });

const ask = (
  master: ScriptedMaster,
  method: string,
  path: string,
  body: string | object = '',
): Promise<OperatorResponse> =>
  operate(master, { method, path, body: typeof body === 'string' ? body : JSON.stringify(body) });

const masterOf = (overrides: Partial<State> = {}, script: MasterScript = {}): ScriptedMaster =>
  new ScriptedMaster(sampleState(undefined, overrides), script);

const codeOf = (response: OperatorResponse): string =>
  /"errorCode":"([^"]*)"/.exec(JSON.stringify(response.body))?.[1] ?? '';

const statusAndCode = (response: OperatorResponse): readonly [number, string] => [
  response.status,
  codeOf(response),
];

const config = { version: 4, text: 'text 4', digest: 'd4', compiled: '{}', changeId: 'change 4' };
const accepted: AcceptedChanges = recordAcceptedChange(new Map(), 4, 'change 4');
const notExecuted = new RpcError('no-majority', 'no majority replied', 'no');
const unclear = new RpcError('superseded', 'not master any more', 'unknown');

operations('a configuration is acknowledged once it is committed and in force', async () => {
  const master = masterOf();
  const response = await ask(master, 'PUT', '/v1/config', fileText({ changeId: 'a' }));
  assert.is(response.status, 200);
  assert.equal(master.calls, ['submitConfirmed', 'waitUntilInForce']);
  assert.is(master.state.config?.version, 1);
  assert.equal(response.body, { version: 1, digest: master.state.config?.digest });
});

operations('a configuration with findings changes nothing and calls no master', async () => {
  const master = masterOf();
  const response = await ask(master, 'PUT', '/v1/config', fileText({ pools: [] }));
  assert.equal(statusAndCode(response), [422, 'findings']);
  assert.equal(master.calls, []);
});

operations('a configuration on another base is refused with the current version', async () => {
  const master = masterOf({ config, acceptedChanges: accepted });
  const response = await ask(master, 'PUT', '/v1/config', fileText({ base: 3 }));
  assert.equal(response, {
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
  const laterConfig = { ...config, version: 9 };
  const master = masterOf({ config: laterConfig, acceptedChanges: accepted });
  const resentFile = fileText({ base: 3, version: 4, changeId: 'change 4' });
  const response = await ask(master, 'PUT', '/v1/config', resentFile);
  assert.is(response.status, 200);
  assert.match(JSON.stringify(response.body), '"newest":9');
  assert.is(master.state.config, laterConfig);
  assert.equal(master.calls, ['submitConfirmed', 'waitUntilInForce']);
});

operations('a change older than the record gets an unclear response', async () => {
  let changes: AcceptedChanges = new Map();
  for (let version = 1; version <= minimumRememberedChanges + 100; version++)
    changes = recordAcceptedChange(changes, version, `change ${version}`);
  const master = masterOf({
    config: { ...config, version: minimumRememberedChanges + 100 },
    acceptedChanges: changes,
  });
  const oldChange = fileText({ base: 0, version: 1, changeId: 'change 1' });
  const response = await ask(master, 'PUT', '/v1/config', oldChange);
  assert.equal(statusAndCode(response), [504, 'unknown']);
  assert.match(JSON.stringify(response.body), '"how":"GET /v1/config"');
});

operations('a change with an unknown outcome gets 504, one not made gets 503', async () => {
  const unclearResponse = await ask(
    masterOf({}, { publishError: unclear }),
    'PUT',
    '/v1/config',
    fileText(),
  );
  assert.equal(statusAndCode(unclearResponse), [504, 'unknown']);
  assert.match(JSON.stringify(unclearResponse.body), '"digest":');
  const refusedResponse = await ask(
    masterOf({}, { publishError: notExecuted }),
    'PUT',
    '/v1/config',
    fileText(),
  );
  assert.equal(statusAndCode(refusedResponse), [503, 'no-majority']);
  for (const [error, expected] of [
    [unclear, [504, 'unknown']],
    [notExecuted, [503, 'no-majority']],
  ] as const) {
    const drainResponse = await ask(
      masterOf({}, { publishError: error }),
      'POST',
      '/v1/fronts/f1/drain',
    );
    assert.equal(statusAndCode(drainResponse), expected);
  }
});

operations('prepare reports an accepted change, else the text of its base', async () => {
  const body = { base: 4, version: 5, changeId: 'x' };
  const master = masterOf({ config, acceptedChanges: accepted });
  assert.equal(await ask(master, 'POST', '/v1/config/prepare', body), {
    status: 200,
    body: { taken: false, text: 'text 4' },
  });
  assert.equal(master.calls, ['confirm']);
  const acceptingMaster = masterOf({ config, acceptedChanges: accepted });
  const acceptedChange = { base: 3, version: 4, changeId: 'change 4' };
  assert.equal(await ask(acceptingMaster, 'POST', '/v1/config/prepare', acceptedChange), {
    status: 200,
    body: { taken: true, version: 4 },
  });
  assert.equal(acceptingMaster.calls, ['confirm', 'waitUntilInForce']);
});

operations('prepare is refused without a configuration, base, majority or valid body', async () => {
  const body = { base: 0, version: 5, changeId: 'x' };
  const path = '/v1/config/prepare';
  assert.equal(statusAndCode(await ask(masterOf(), 'POST', path, body)), [404, 'missing']);
  const configured = masterOf({ config, acceptedChanges: accepted });
  assert.equal(statusAndCode(await ask(configured, 'POST', path, body)), [409, 'wrong-base']);
  assert.equal(statusAndCode(await ask(configured, 'POST', path, '{')), [422, 'findings']);
  assert.equal(statusAndCode(await ask(configured, 'POST', path, { ...body, changeId: '' })), [
    422,
    'findings',
  ]);
  const withoutMajority = masterOf(
    { config, acceptedChanges: accepted },
    { confirmError: notExecuted },
  );
  assert.equal(statusAndCode(await ask(withoutMajority, 'POST', path, body)), [503, 'no-majority']);
  const withUnclearMajority = masterOf(
    { config, acceptedChanges: accepted },
    { confirmError: unclear },
  );
  const response = await ask(withUnclearMajority, 'POST', path, body);
  assert.equal(statusAndCode(response), [504, 'unknown']);
  assert.match(JSON.stringify(response.body), '"how":"ask again"');
});

operations('the configuration is read after a majority confirmed the master', async () => {
  const master = masterOf({ config });
  assert.equal(await ask(master, 'GET', '/v1/config'), {
    status: 200,
    body: { version: 4, text: 'text 4', digest: 'd4', changeId: 'change 4' },
  });
  assert.equal(master.calls, ['confirm']);
  assert.equal(statusAndCode(await ask(masterOf(), 'GET', '/v1/config')), [404, 'missing']);
  const withoutMajority = masterOf({ config }, { confirmError: unclear });
  assert.equal(statusAndCode(await ask(withoutMajority, 'GET', '/v1/config')), [
    503,
    'unavailable',
  ]);
});

operations('an unknown path gets 404, an unsupported method gets 405', async () => {
  for (const path of ['/v2/status', '/v1/unknown', '/v1/servers', '/v1/controls', '/v1/stores/s1'])
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

operations('a server is added only with a pool and a URL with an IP address', async () => {
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

operations('a store is emptied by id, address or name; a repeat changes nothing', async () => {
  for (const id of ['s4', 's4:1', 's4-name']) {
    const master = masterOf();
    const response = await ask(master, 'POST', `/v1/stores/${id}/empty`);
    assert.is(response.status, 200);
    assert.ok(master.state.retiring.has('s4'));
    const before = master.state;
    assert.is((await ask(master, 'POST', `/v1/stores/${id}/empty`)).status, 200);
    assert.is(master.state, before);
    assert.is((await ask(master, 'DELETE', `/v1/stores/${id}/empty`)).status, 200);
    assert.is(master.state.retiring.size, 0);
  }
});

operations('an order to empty a store that cannot be executed is refused', async () => {
  const master = masterOf({ retiring: new Map([['s3', 's3-name']]) });
  assert.equal(statusAndCode(await ask(master, 'POST', '/v1/stores/s4/empty')), [409, 'refused']);
  assert.equal(statusAndCode(await ask(master, 'POST', '/v1/stores/f1/empty')), [409, 'refused']);
  assert.equal(statusAndCode(await ask(master, 'POST', '/v1/stores/x/empty')), [404, 'missing']);
  assert.equal(statusAndCode(await ask(master, 'DELETE', '/v1/stores/x/empty')), [404, 'missing']);
  assert.equal([...master.state.retiring.keys()], ['s3']);
});

operations('emptying an absent store is acknowledged again, but not cancelled', async () => {
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

const isEmptyingDone = async (
  overrides: Partial<State>,
  script: MasterScript = {},
): Promise<boolean> => {
  const master = new ScriptedMaster(
    sampleState(overrides.slots ?? [sampleSlot({ replicas: ['s1', 's2', 's3'] })], overrides),
    script,
  );
  const response = await ask(master, 'GET', '/v1/stores/s4/empty');
  assert.is(response.status, 200);
  assert.equal(master.calls, ['pingPeers', 'confirm']);
  return JSON.stringify(response.body).includes('"done":true');
};

operations('emptying is done once the store has no replicas and all others reply', async () => {
  const retiring = new Map([['s4', 's4-name']]);
  assert.is(await isEmptyingDone({ retiring }), true);
  assert.is(await isEmptyingDone({}), false, 'emptying was not ordered');
  const joining = sampleSlot({ joiningReplicas: ['s4'], replacedReplica: 's1' });
  assert.is(
    await isEmptyingDone({ retiring, slots: [joining] }),
    false,
    's4 is a joining replica of a slot',
  );
  assert.is(
    await isEmptyingDone({ retiring }, { repliedNodes: ['s1', 's2'] }),
    false,
    's3 did not reply',
  );
});

operations('the emptying progress of a node that is not a known store is not found', async () => {
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
  const response = await ask(master, 'GET', '/v1/stores/s9-name/empty');
  assert.match(JSON.stringify(response.body), '"store":"s9"');
});

operations('a control gets a vote only with the newest state on its disk', async () => {
  const spare = { ...sampleState().nodes.get('c1'), id: 'c4', addr: 'c4:1', name: 'c4-name' };
  const sample = sampleState();
  const nodes = new Map(sample.nodes).set('c4', {
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
    'another change of voters is in progress',
  );
});

operations('only a control gets a vote, and the last voting control is not removed', async () => {
  const master = masterOf();
  assert.equal(statusAndCode(await ask(master, 'POST', '/v1/controls/s1')), [409, 'refused']);
  assert.equal(statusAndCode(await ask(master, 'POST', '/v1/controls/x')), [404, 'missing']);
  assert.equal(statusAndCode(await ask(master, 'DELETE', '/v1/controls/s1')), [404, 'missing']);
  const single = masterOf({ voters: { current: ['c1'], next: ['c1'] } });
  assert.equal(statusAndCode(await ask(single, 'DELETE', '/v1/controls/c1')), [409, 'refused']);
});

operations('status and margin count nodes that replied after the request arrived', async () => {
  const master = masterOf({}, { repliedNodes: ['c1', 'c2', 's1', 's2'] });
  const margin = await ask(master, 'GET', '/v1/margin');
  assert.match(JSON.stringify(margin.body), '"leastSlotMargin":0');
  const status = await ask(master, 'GET', '/v1/status');
  assert.match(JSON.stringify(status.body), '"clusterId":"sample"');
  assert.equal(master.calls, ['pingPeers', 'confirm', 'pingPeers', 'confirm']);
  const withoutMajority = masterOf({}, { confirmError: notExecuted });
  assert.equal(statusAndCode(await ask(withoutMajority, 'GET', '/v1/status')), [
    503,
    'unavailable',
  ]);
});

operations('a request is read-only if it changes nothing whatever its outcome', () => {
  const read = (method: string, path: string): boolean => isReadOnly({ method, path, body: '' });
  assert.ok(read('GET', '/v1/status'));
  assert.ok(read('POST', '/v1/config/prepare'));
  assert.not(read('PUT', '/v1/config'));
  assert.not(read('DELETE', '/v1/servers/a'));
});

operations.run();
