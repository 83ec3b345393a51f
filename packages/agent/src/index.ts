/** The front-agent: maintains the control link of the local proxy and feeds it over loopback. */
export * from './agent.js';
export * from './proxy-feed.js';
export * from './server-list-monitor.js';
export * from './start.js';
