/** Data folders of earlier versions are readable by this version: votes, state, turns, budgets, operation keys. */
import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { request } from 'undici';
import { z } from 'zod';
import { ask, closeHttpConnections, until } from '@tillerstair/fleet';
import { FolderDisk, defaultTimings } from '@tillerstair/journal';
import { Caller } from '@tillerstair/stand-ins';
import { encodeState } from '@tillerstair/state';
import { openStoreDisk } from '@tillerstair/store';
import { hostClock } from '@tillerstair/wire';
import { DiskElectionStore, type PersistentState } from '@tillerstair/zen';
import { startStoredCluster } from '../support/stored-cluster.js';
import { readExpected, withStoredData, type Expected } from '../support/stored-fixture.js';

const stored = suite('stored data of earlier versions');

/** Large enough that no log is rewritten. */
const rewriteMinBytes = 1 << 30;
const storeLimits = { rewriteMinBytes, retentionMs: 3600000, maxHints: 1000 };
const noFreshId = (): string => {
  throw new Error('a node with stored data must not get a new id');
};

type ExpectedNode = Expected['nodes'][string];

const sortedEntries = (
  entries: Iterable<readonly [string, string]>,
): readonly (readonly [string, unknown])[] =>
  [...entries]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, text]) => [key, JSON.parse(text)] as const);

const assertElection = (persisted: PersistentState, { election }: ExpectedNode): void => {
  const { id, term, votedFor, bootstrapVote, accepted } = persisted;
  assert.equal([id, term, votedFor], [election.id, election.term, election.votedFor]);
  assert.equal(bootstrapVote, election.bootstrapVote);
  assert.ok(accepted);
  assert.equal(sortedEntries(encodeState(accepted)), sortedEntries(election.accepted));
};

const nodesOf = (expected: Expected, kind: string): readonly (readonly [string, ExpectedNode])[] =>
  Object.entries(expected.nodes).filter(([name]) => name.startsWith(kind));

stored(
  'a control reads its id, its votes and the accepted state, and does not change its log',
  () =>
    withStoredData(async (folderOf) => {
      const controls = nodesOf(await readExpected(), 'control');
      assert.is(controls.length, 3);
      for (const [name, expected] of controls) {
        const log = join(folderOf(name), 'zen.log');
        const before = await readFile(log);
        const disk = await FolderDisk.acquire(folderOf(name));
        const electionStore = await DiskElectionStore.open(disk, noFreshId, rewriteMinBytes);
        assertElection(electionStore.persisted, expected);
        await disk.release();
        assert.equal(await readFile(log), before);
      }
    }),
);

stored('a store reads all items, fences and hints, and does not change its logs', () =>
  withStoredData(async (folderOf) => {
    const stores = nodesOf(await readExpected(), 'store');
    assert.is(stores.length, 3);
    for (const [name, expected] of stores) {
      const folder = folderOf(name);
      const before = await readFile(join(folder, 'store.log'));
      const disk = await FolderDisk.acquire(folder);
      const { electionStore, replicaStore } = await openStoreDisk({
        disk,
        clock: hostClock,
        timings: defaultTimings,
        limits: storeLimits,
        freshId: noFreshId,
        rewriteMinBytes,
      });
      assertElection(electionStore.persisted, expected);
      const { fences, items, hints } = expected.replicas ?? { fences: [], items: [], hints: [] };
      assert.ok(fences.length > 0 && items.length > 0);
      for (const [slot, epoch] of fences) {
        assert.throws(
          () => replicaStore.pull(slot, epoch + 1, { after: '' }),
          (error: unknown) =>
            error instanceof Error && 'code' in error && error.code === 'not-fenced',
        );
        const page = replicaStore.pull(slot, epoch, { after: '' });
        assert.is(page.next, '');
        const expectedItems = items
          .filter((entry) => entry.slot === slot)
          .map((entry) => entry.item);
        const byKey = (a: { key: string }, b: { key: string }): number => (a.key < b.key ? -1 : 1);
        assert.equal([...page.items].sort(byKey), expectedItems.sort(byKey));
        assert.throws(
          () => replicaStore.read(slot, epoch - 1, 'none'),
          (error: unknown) =>
            error instanceof Error && 'code' in error && error.code === 'stale-epoch',
        );
      }
      const storedHints = [...replicaStore.hintTargets()].flatMap((to) =>
        replicaStore.hintsFor(to),
      );
      const byNumber = (a: { n: number }, b: { n: number }): number => a.n - b.n;
      assert.equal(
        storedHints
          .map(({ n, to, slot, items: hinted }) => ({ n, to, slot, items: hinted }))
          .sort(byNumber),
        hints.sort(byNumber),
      );
      await disk.release();
      assert.equal(await readFile(join(folder, 'store.log')), before);
    }
    assert.ok(stores.some(([, store]) => (store.replicas?.hints.length ?? 0) > 0));
  }),
);

const History = z.object({ turns: z.array(z.object({ turn: z.string() }).loose()) }).loose();

/**
 * Parses a program's history and sorts its turns by name. An owner lists them in the order in which its replicas
 * received them; that order differs between the stored replicas, since hints of one program were stored on two stores.
 */
const historyOf = (body: unknown): z.infer<typeof History> => {
  const history = History.parse(body);
  const turns = [...history.turns].sort((a, b) => (a.turn < b.turn ? -1 : 1));
  return { ...history, turns };
};

const sendKeyed = async (front: string, path: string, key: string): Promise<string> => {
  const response = await request(`http://${front}${path}`, {
    method: 'POST',
    headers: {
      host: 'a.example',
      'x-tenant': 'shop',
      'x-request-id': path,
      'operation-key': key,
    },
    body: 'hello',
  });
  return `${response.statusCode} ${await response.body.text()}`;
};

stored(
  'programs started on the stored folders serve the configuration, turns, budgets and keys in them',
  () =>
    withStoredData(async (folderOf) => {
      const { config, answers, tenant } = await readExpected();
      const cluster = await startStoredCluster(folderOf);
      try {
        const [operator = ''] = cluster.operators;
        const [firstFront = '', secondFront = ''] = cluster.callers;
        const current = await ask('GET', `http://${operator}/v1/config`);
        assert.is(current.status, 200);
        assert.equal(current.body, config);
        const caller = new Caller(tenant, () => undefined);
        const firstProgram = answers.programs[0]?.program ?? '';
        await until('the slots are served', 20000, async () => {
          const url = `http://${firstFront}/v1/programs/${firstProgram}`;
          const reply = await request(url, { headers: { 'x-tenant': tenant } });
          await reply.body.dump();
          return reply.statusCode === 200;
        });
        for (const { program, history } of answers.programs) {
          const url = `http://${secondFront}/v1/programs/${program}`;
          const reply = await request(url, { headers: { 'x-tenant': tenant } });
          assert.equal(historyOf(await reply.body.json()), historyOf(history));
        }
        for (const { program, after, turn, key, text, sent } of answers.turns) {
          assert.is((await caller.fetch(firstFront, program, turn)).text, text);
          const retry = await caller.turn(secondFront, { program, after, words: sent, key });
          assert.equal([retry.reported, retry.turn, retry.text], ['done', turn, text]);
        }
        for (const { key, body, text } of answers.calls) {
          assert.is((await caller.call(firstFront, '/shop/stock/hold', body, key)).text, text);
          const reusedKey = await caller.call(
            firstFront,
            '/shop/stock/hold',
            { item: 'another' },
            key,
          );
          assert.is(reusedKey.status, 422);
        }
        for (const { path, key, body } of answers.keyed)
          assert.is(await sendKeyed(firstFront, path, key), `200 ${body}`);
        const putResponse = await ask('PUT', `http://${operator}/v1/config`, config.text);
        assert.is(putResponse.status, 200, JSON.stringify(putResponse.body));
        assert.equal((await ask('GET', `http://${operator}/v1/config`)).body, config);
      } finally {
        await cluster.stop();
      }
    }),
);

stored.after(async () => {
  await closeHttpConnections();
  await Caller.close();
});

stored.run();
