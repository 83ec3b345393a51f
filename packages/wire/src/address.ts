/** Addresses of processes: an IP number and a port, as `10.0.0.1:7000` or `[::1]:7000`. */

/** Splits an address into host (without brackets) and port. */
export const parseAddress = (address: string): { host: string; port: number } => {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(colon + 1)),
  };
};
