import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { checkRecords, noRecords, type RanRecord, type Records, type ToldRecord } from '@tillerstair/checker';

const bites = suite('the checker bites');

const told: ToldRecord = {
  kind: 'call', tenant: 't', program: '', key: 'k', turn: '', from: 100, to: 200, told: 'done', mishap: '', pieces: [], text: 's1 k', tokens: 0, sent: '{}',
};
const ran: RanRecord = {
  kind: 'act', server: 's1', pool: 'shop', key: 'k', began: 120, at: 150, said: '/hold', reply: '', complete: true, tokens: 0,
};
const said = 'what is in stock? #1'.padEnd(60, ' ');
const turn: ToldRecord = { ...told, kind: 'turn', program: 'p', key: 't1', turn: 'x', text: 'a b ', pieces: [0, 1], tokens: 2, sent: said };
const gen: RanRecord = { ...ran, kind: 'generate', pool: 'models', key: '', said, reply: 'a b ', tokens: 2 };
const config = { version: 1, text: 'c1', turnPools: ['models'], callPools: ['shop'], sentAt: -20000, told: 'done' as const, toldAt: -10000 };
const program: ToldRecord = { ...told, kind: 'program', program: 'p', key: '', sent: '10', text: '' };
const fetched: ToldRecord = { ...turn, kind: 'fetch', key: '', from: 300, to: 400, pieces: [] };
const good: Records = {
  ...noRecords, told: [program, turn, fetched, told, { ...told, from: 300, to: 350 }, { ...told, key: 'r', told: 'refused', text: '' }], ran: [ran, gen], configs: [config],
  leavings: [{ server: 's9', at: 0, until: 1e9 }], restarts: [{ stoppedAt: 0, startedAt: 0, servedAt: 5000, configBefore: 1, configAfter: 1 }],
  readBack: { version: 1, text: 'c1' }, perTurn: 4,
};

bites('sound records breach nothing and prove every rule', () => {
  for (const v of checkRecords(good)) {
    assert.equal(v.breaches, [], v.rule);
    assert.ok(v.checked > 0, v.rule);
  }
});

const doctored: readonly (readonly [string, Records])[] = [
  ['runs twice', { ...good, ran: [...good.ran, { ...ran, at: 90000 }] }],
  ['both run within a minute', { ...good, ran: [...good.ran, { ...ran, at: 5000 }] }],
  ['told refused has not run', { ...good, told: [{ ...told, told: 'refused', text: '' }] }],
  ['foreign, cut or invented', { ...good, told: [...good.told, { ...told, key: 'other', text: 's1 k' }] }],
  ['foreign, cut or invented', { ...good, told: [program, { ...turn, text: 'a ', pieces: [0] }] }],
  ['foreign, cut or invented', { ...good, ran: [ran, { ...gen, complete: false }] }],
  ['its budget and one turn', { ...good, told: [program, ...Array.from({ length: 8 }, (_, i) => ({ ...turn, key: `t${i}` }))] }],
  ['reported missing', { ...good, told: [program, turn, { ...fetched, told: 'refused', mishap: 'missing', text: '' }] }],
  ['reported missing', { ...good, told: [program, turn, { ...turn, key: 't2', told: 'refused', mishap: 'missing-turn', pieces: [], text: '' }] }],
  ['skips, repeats or stitches', { ...good, told: [program, { ...turn, pieces: [0, 2] }] }],
  ['skips, repeats or stitches', { ...good, told: [program, { ...turn, told: 'partial', text: 'a c ' }] }],
  ['leaving server', { ...good, leavings: [{ server: 's1', at: -4000, until: 1e9 }] }],
  ['in force', { ...good, configs: [config, { ...config, version: 2, turnPools: ['new'], sentAt: -9000, toldAt: -8000 }], readBack: { version: 2, text: 'c1' } }],
  ['never allowed', { ...good, ran: [{ ...ran, pool: 'secret' }, gen] }],
  ['read-back', { ...good, readBack: { version: 1, text: 'other' } }],
  ['read-back', { ...good, readBack: undefined }],
  ['full stop', { ...good, restarts: [{ stoppedAt: 0, startedAt: 0, servedAt: 14000, configBefore: 1, configAfter: 1 }] }],
  ['full stop', { ...good, restarts: [{ stoppedAt: 0, startedAt: 0, servedAt: 4000, configBefore: 2, configAfter: 1 }] }],
];

doctored.forEach(([rule, records], i) => {
  bites(`doctored record ${i + 1} is caught: ${rule}`, () => {
    const hit = checkRecords(records).filter((v) => v.breaches.length > 0).map((v) => v.rule);
    assert.ok(hit.some((r) => r.includes(rule)), `caught ${hit.join('; ') || 'nothing'}`);
  });
});

bites.run();
