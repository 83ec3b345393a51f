/** HTTP status codes that the proxy sends or handles specially (RFC 9110, section 15; 425 from RFC 8470). */

export const ok = 200;
export const noContent = 204;
export const notModified = 304;
export const badRequest = 400;
export const notFound = 404;
export const requestTimeout = 408;
export const conflict = 409;
export const contentTooLarge = 413;
export const misdirectedRequest = 421;
export const tooEarly = 425;
export const tooManyRequests = 429;
export const internalServerError = 500;
export const badGateway = 502;
export const serviceUnavailable = 503;
export const gatewayTimeout = 504;
