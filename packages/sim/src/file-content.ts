/** The content of a file on a simulated disk. */

/** The bytes of a file: as of the last sync, and as processes see them. */
export interface FileContent {
  synced: Buffer;
  cached: Buffer;
}

const noBytes = Buffer.alloc(0);

/** The content of an empty file. */
export const emptyContent = (): FileContent => ({ synced: noBytes, cached: noBytes });
