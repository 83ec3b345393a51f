#!/usr/bin/env node
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Fleet, until } from './fleet.js';
import { fullSizes, seoul } from './layout.js';
import { configFor } from './configs.js';
import { Traffic } from './traffic.js';

const fleet = new Fleet({ dir: join(tmpdir(), `fleet-${process.pid}`), sizes: fullSizes, house: seoul, cuts: false, affinity: true, log: 'info' });
try {
  await fleet.build();
  const t0 = Date.now();
  fleet.start();
  console.log('controls ready', await until('controls', 20000, () => fleet.ready('control')));
  const put = await fleet.operator.any('PUT', '/v1/config', configFor(seoul, { base: 0, turnPools: [seoul.modelPool], callPools: [seoul.servicePool], extraLanes: 0, note: 'first' }));
  console.log('config', put.status, Date.now() - t0);
  await fleet.register();
  console.log('registered', Date.now() - t0);
  await until('fronts', 20000, () => fleet.ready('front'));
  console.log('fronts ready', Date.now() - t0);
  const traffic = new Traffic({ house: seoul, seed: 1, chatsPerSecond: 10, longChats: 3, fronts: () => fleet.fronts });
  await traffic.run(5000);
  await traffic.finish(15000);
  const counts = new Map<string, number>();
  for (const t of traffic.told) counts.set(`${t.kind} ${t.told} ${t.mishap}`, (counts.get(`${t.kind} ${t.told} ${t.mishap}`) ?? 0) + 1);
  console.log(JSON.stringify(traffic.told.filter((t)=>t.told!=="done").slice(0,2)).slice(0,1200)); console.log(counts, fleet.ledger.all().length);
} finally {
  await fleet.close();
}
process.exit(0);
