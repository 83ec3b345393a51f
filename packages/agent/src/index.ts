/** The front-agent: keeps the control link of the proxy beside it and feeds it over loopback. */
export * from './agent.js';
export * from './proxy-feed.js';
export * from './server-list-monitor.js';
export * from './start.js';
