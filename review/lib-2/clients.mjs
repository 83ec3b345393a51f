/** Stand-ins for clients and the operator, for the scripts of the second review. */
import { request } from 'node:http';
import { delay } from './deployment.mjs';

const clientError = 400;
const serverError = 500;
const retriedStatuses = new Set([408, 429]);

/**
 * Sends one request on a new connection. Resolves with status, headers, body and whether the answer is complete as HTTP
 * tells it, or with an error. Never rejects.
 */
export const send = (
  { host, port },
  { method = 'GET', path = '/', headers = {}, body = '', timeoutMs = 5000 },
) =>
  new Promise((done) => {
    let head = {};
    const parts = [];
    const result = (fields) =>
      done({ ...head, body: Buffer.concat(parts).toString('latin1'), complete: false, ...fields });
    const req = request({ host, port, method, path, headers, agent: false }, (res) => {
      head = { status: res.statusCode, headers: res.headers };
      res.on('data', (part) => parts.push(part));
      res.on('end', () => result({ complete: res.complete }));
      res.on('error', (error) => result({ error: error.message }));
    });
    req.on('error', (error) => result({ error: error.message }));
    req.setTimeout(timeoutMs, () => req.destroy(new Error('no answer in time')));
    req.end(body);
  });

/** Sends a client's request on a route and records it with its answer. */
export const ask = async (
  front,
  record,
  { tryId, method = 'POST', path, headers = {}, body = '', timeLeftMs = 3000 },
) => {
  record.add('sent', { tryId, front: front.name, path, bytes: body.length, ...headers });
  const answer = await send(front.frontAddress, {
    method,
    path,
    body,
    headers: {
      Host: 'shop.example',
      'Try-Id': tryId,
      'Time-Left-Ms': String(timeLeftMs),
      ...headers,
    },
    timeoutMs: timeLeftMs + 1500,
  });
  record.add('answered', {
    tryId,
    status: answer.status,
    complete: answer.complete,
    error: answer.error,
    seal: answer.headers?.['server-seal'],
    bytes: answer.body.length,
    ...(answer.status >= clientError ? { text: answer.body } : {}),
  });
  return answer;
};

/** Sends a turn of a program. */
export const askTurn = (
  front,
  record,
  { tryId, program, after, body, budget = 1000000, most = 60, path = '/chat/turn' },
) =>
  ask(front, record, {
    tryId,
    path,
    body,
    timeLeftMs: 4000,
    headers: {
      Program: program,
      Session: `s-${program}`,
      'Program-Time-Left': '60000',
      'Token-Budget': String(budget),
      'Token-Count': `100,${most}`,
      ...(after === undefined ? {} : { 'Previous-Turn': after }),
    },
  });

const isFinal = ({ status }) =>
  status !== undefined && status < serverError && !retriedStatuses.has(status);

/** Sends an order to one control after the other until it has a final answer; resolves with the last answer. */
export const operate = async (controls, order, withinMs = 20000) => {
  const deadline = Date.now() + withinMs;
  for (let i = 0; ; i++) {
    const control = controls[i % controls.length];
    const answer = await send(control.controlAddress, { timeoutMs: 4500, ...order });
    if (isFinal(answer) || Date.now() > deadline) return answer;
    await delay(200);
  }
};

/** Puts a whole configuration that builds on version `base`. */
export const putConfiguration = (controls, base, configuration) =>
  operate(controls, {
    method: 'PUT',
    path: '/configuration',
    headers: { 'If-Match': String(base), 'Content-Type': 'application/json' },
    body: JSON.stringify(configuration),
  });

/** Waits until all fronts are ready, as the platform asks them; resolves with whether they are. */
export const waitUntilReady = async (fronts, withinMs = 20000) => {
  const deadline = Date.now() + withinMs;
  for (;;) {
    const answers = await Promise.all(
      fronts.map((front) => send(front.readyAddress, { path: '/readiness', timeoutMs: 900 })),
    );
    if (answers.every(({ status }) => status === 200)) return true;
    if (Date.now() > deadline) return false;
    await delay(100);
  }
};
