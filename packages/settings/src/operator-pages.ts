/** The HTTP health checks of every program: `/live` for liveness and `/ready` for readiness. */
import {
  sendJson,
  serveHttp,
  type DrainableServer,
  type HttpHandler,
  type HttpLimits,
} from '@tillerstair/wire';

const okStatus = 200;
const notFoundStatus = 404;
const unavailableStatus = 503;

/** Readiness of a program, with the reason; it is the body of the `/ready` response. */
export interface Readiness {
  readonly ready: boolean;
  readonly why: string;
}

/**
 * Starts an HTTP server with `/live` (always 200) and `/ready` (200 or 503). `handleOther` handles all other paths;
 * without it they are answered 404. `limits` bounds what clients make the program hold.
 */
export const servePages = (
  addr: string,
  readiness: () => Readiness,
  limits: HttpLimits,
  handleOther?: HttpHandler,
): Promise<DrainableServer> => {
  const handle: HttpHandler = async (request, response, url) => {
    if (url.pathname === '/live') {
      sendJson(response, okStatus, { live: true });
      return;
    }
    if (url.pathname === '/ready') {
      const report = readiness();
      sendJson(response, report.ready ? okStatus : unavailableStatus, report);
      return;
    }
    if (handleOther) return handleOther(request, response, url);
    sendJson(response, notFoundStatus, { executed: 'no', errorCode: 'no-such-page' });
  };
  return serveHttp(addr, handle, limits);
};
