/** Parses process addresses: an IP address and a port, such as `10.0.0.1:7000` or `[::1]:7000`. */

/** Splits an address into its host (without brackets) and port. It does not validate either of them. */
export const parseAddress = (address: string): { host: string; port: number } => {
  const colon = address.lastIndexOf(':');
  return {
    host: address.slice(0, colon).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(colon + 1)),
  };
};
