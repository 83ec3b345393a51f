/** Malformed input on HTTP listeners and on the inner wire ends its own connection at most. */
import { connect } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { ask, freePorts } from '@tillerstair/fleet';
import { sendJson, serveHttp, parseAddress, TcpTransport } from '@tillerstair/wire';

const hostile = suite('hostile input');

const sendRaw = (addr: string, bytes: string): Promise<string> =>
  new Promise((resolve) => {
    const socket = connect(parseAddress(addr));
    let received = '';
    socket.setEncoding('utf8');
    socket.on('data', (chunk) => {
      received += String(chunk);
      if (received.includes('}')) socket.end();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(received));
    socket.write(bytes);
  });

hostile('malformed paths are refused without ending the process', async () => {
  const [port = 0] = await freePorts(1);
  const addr = `127.0.0.1:${port}`;
  const server = await serveHttp(addr, (_req, res, url) => {
    sendJson(res, 200, { path: url.pathname });
    return Promise.resolve();
  });
  for (const path of ['/%zz', '/v1/programs/%E0%A4%A', '/a/%ff/b']) {
    const response = await sendRaw(addr, `GET ${path} HTTP/1.1\r\nHost: x\r\n\r\n`);
    assert.match(response, ' 400 ', path);
    assert.match(response, 'bad-path');
  }
  for (const path of ['//', '///x', 'http://', '/' + 'x'.repeat(20000), '/\u0000'])
    await sendRaw(addr, `GET ${path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n`);
  await sendRaw(addr, 'nonsense\r\n\r\n');
  assert.is((await ask('GET', `http://${addr}/fine`)).status, 200);
  server.closeAllConnections();
  await new Promise<void>((resolve) => server.close(() => resolve()));
});

hostile(
  'malformed, oversized or truncated lines on the inner wire close only their own connection',
  async () => {
    const [clientPort = 0, serverPort = 0] = await freePorts(2);
    const [clientTransport, serverTransport] = [
      new TcpTransport(`127.0.0.1:${clientPort}`),
      new TcpTransport(`127.0.0.1:${serverPort}`, `127.0.0.1:${serverPort}`, {
        maxLineBytes: 1 << 16,
      }),
    ];
    await serverTransport.serve((rpc) => Promise.resolve(rpc.body));
    const hello = `{"hello":"127.0.0.1:1","to":"${serverTransport.self}"}\n`;
    const malformedInputs = [
      'nonsense\n',
      '{}\n',
      `${hello}[]\n`,
      `${hello}{"id":"x"}\n`,
      `${hello}{"id":1,"kind":3}\n`,
      `${hello}{"id":1,"kind":"k","body":"${'x'.repeat(1 << 17)}`,
    ];
    for (const bytes of malformedInputs)
      assert.is(await sendRaw(serverTransport.self, bytes), '', bytes.slice(0, 60));
    assert.equal(
      await clientTransport.call(serverTransport.self, 'echo', { fine: true }, { timeoutMs: 2000 }),
      { fine: true },
    );
    await clientTransport.close();
    await serverTransport.close();
  },
);

hostile.run();
