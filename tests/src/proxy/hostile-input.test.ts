import { connect } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { ask, freePorts } from '@tillerstair/fleet';
import { sendJson, serveHttp, parseAddress, TcpTransport } from '@tillerstair/wire';

const hostile = suite('hostile input');

const rawly = (addr: string, bytes: string): Promise<string> =>
  new Promise((done) => {
    const s = connect(parseAddress(addr));
    let out = '';
    s.setEncoding('utf8');
    s.on('data', (part) => {
      out += String(part);
      if (out.includes('}')) s.end();
    });
    s.on('error', () => undefined);
    s.on('close', () => done(out));
    s.write(bytes);
  });

hostile('paths nobody can read are refused, and the process goes on', async () => {
  const [port = 0] = await freePorts(1);
  const addr = `127.0.0.1:${port}`;
  const server = await serveHttp(addr, (_req, res, url) => {
    sendJson(res, 200, { path: url.pathname });
    return Promise.resolve();
  });
  for (const path of ['/%zz', '/v1/programs/%E0%A4%A', '/a/%ff/b']) {
    const back = await rawly(addr, `GET ${path} HTTP/1.1\r\nHost: x\r\n\r\n`);
    assert.match(back, ' 400 ', path);
    assert.match(back, 'bad-path');
  }
  for (const path of ['//', '///x', 'http://', '/' + 'x'.repeat(20000), '/\u0000'])
    await rawly(addr, `GET ${path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n`);
  await rawly(addr, 'nonsense\r\n\r\n');
  assert.is((await ask('GET', `http://${addr}/fine`)).status, 200);
  server.closeAllConnections();
  await new Promise<void>((done) => server.close(() => done()));
});

hostile(
  'inner lines that are wrong, huge or cut short end their connection and no other',
  async () => {
    const [p = 0, q = 0] = await freePorts(2);
    const [a, b] = [
      new TcpTransport(`127.0.0.1:${p}`),
      new TcpTransport(`127.0.0.1:${q}`, `127.0.0.1:${q}`, 1000, 1 << 16),
    ];
    await b.serve((rpc) => Promise.resolve(rpc.body));
    const hello = `{"hello":"127.0.0.1:1","to":"${b.self}"}\n`;
    const wrong = [
      'nonsense\n',
      '{}\n',
      `${hello}[]\n`,
      `${hello}{"id":"x"}\n`,
      `${hello}{"id":1,"kind":3}\n`,
      `${hello}{"id":1,"kind":"k","body":"${'x'.repeat(1 << 17)}`,
    ];
    for (const bytes of wrong) assert.is(await rawly(b.self, bytes), '', bytes.slice(0, 60));
    assert.equal(await a.call(b.self, 'echo', { fine: true }, { timeoutMs: 2000 }), { fine: true });
    await a.close();
    await b.close();
  },
);

hostile.run();
