/** The content of a file on a simulated disk. */

/** The bytes of a file, as they were last synced and as processes see them. */
export interface FileContent {
  synced: Buffer;
  cached: Buffer;
}

const noBytes = Buffer.alloc(0);

/** A file without bytes. */
export const emptyContent = (): FileContent => ({ synced: noBytes, cached: noBytes });
