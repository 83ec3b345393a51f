/**
 * Stand-ins for servers, by PROTOCOL.md ("Servers"): they echo `Try-Id`, stamp answers with `Server-Seal`, and note what
 * they run. How an answer is written is up to each case.
 */
import { createServer } from 'node:http';
import { randomBytes } from 'node:crypto';

const readAll = async (req) => {
  const parts = [];
  for await (const part of req) parts.push(part);
  return Buffer.concat(parts);
};

/**
 * Starts a server of a service. `answer` gets each request that the server runs: `{ tryId, seal, req, res, body }`. A
 * request for another server is answered 421 and not run.
 */
export const startServer = async ({ depot, berths, zone = 'gangnam-a' }, answer) => {
  const serverId = `i-${randomBytes(4).toString('hex')}`;
  const ran = [];
  const http = createServer(async (req, res) => {
    const tryId = req.headers['try-id'] ?? '';
    const expected = req.headers['expect-server'];
    if (expected !== undefined && expected !== serverId) {
      res.writeHead(421, { 'Try-Id': tryId, 'Not-Run': '1', 'Content-Length': '0' }).end();
      return;
    }
    const body = await readAll(req).catch(() => undefined);
    if (body === undefined) return;
    const seal = `${serverId}.${ran.length}`;
    const run = { at: Date.now(), tryId, seal, path: req.url, body: body.toString('latin1') };
    ran.push(run);
    answer({ tryId, seal, req, res, body, run });
  });
  http.keepAliveTimeout = 60000;
  await new Promise((resolve) => {
    http.listen(0, '127.0.0.1', resolve);
  });
  const entry = {
    serverId,
    depot,
    address: `127.0.0.1:${http.address().port}`,
    zone,
    edition: 'v1',
    berths,
    state: 'accepting',
    coldLeftMs: 0,
  };
  const stop = () => {
    http.closeAllConnections();
    http.close();
  };
  return { entry, ran, http, stop };
};
