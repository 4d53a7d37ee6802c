package dev.toucanstall.wire.json;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import dev.toucanstall.core.effect.OperatorAnswer;
import dev.toucanstall.core.event.OperatorRequest;
import dev.toucanstall.core.fold.InstancePhase;
import dev.toucanstall.core.fold.MemberChange;
import dev.toucanstall.core.job.JobAnswer;
import dev.toucanstall.core.job.JobCall;
import dev.toucanstall.core.job.JobRecord;
import dev.toucanstall.core.model.DomainId;
import dev.toucanstall.core.model.Id;
import dev.toucanstall.core.model.InstanceId;
import dev.toucanstall.core.model.KeyDigest;
import dev.toucanstall.core.model.KeyId;
import dev.toucanstall.core.model.MemberId;
import dev.toucanstall.core.model.PoolId;
import dev.toucanstall.core.model.ServiceId;
import dev.toucanstall.core.model.TeamId;
import dev.toucanstall.core.model.WaveId;
import dev.toucanstall.core.node.NodeMessage;
import dev.toucanstall.core.peer.PeerMessage;
import dev.toucanstall.core.peer.SlotKey;
import dev.toucanstall.core.record.DrainReason;
import dev.toucanstall.core.record.RecordBody;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.stream.Stream;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * The mappers that write and read the typed messages. Thread-safe once made.
 *
 * <p>Each sealed type carries the name of its record as "kind": {@code MemberJoined} becomes
 * "member-joined". Identifiers are plain text.
 */
public final class Mappers {

  private static final List<Class<?>> SEALED =
      List.of(
          RecordBody.class,
          DrainReason.class,
          InstancePhase.class,
          MemberChange.class,
          OperatorRequest.class,
          OperatorAnswer.class);

  private static final List<Class<?>> SEALED_OF_PEERS =
      List.of(
          PeerMessage.class,
          SlotKey.class,
          NodeMessage.class,
          JobCall.class,
          JobAnswer.class,
          JobRecord.class);

  private static final ObjectMapper JSON = json();
  private static final ObjectMapper FORMER_MESSAGE_PACK = messagePack();
  private static final ObjectMapper MESSAGE_PACK = compact(messagePack());

  private Mappers() {}

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
  private interface NamedByKind {}

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
  private interface NamedInArray {}

  /**
   * Returns the mapper of JSON.
   *
   * @return the mapper, shared
   */
  public static ObjectMapper forJson() {
    return JSON;
  }

  /**
   * Returns the mapper of MessagePack, which writes records as arrays.
   *
   * @return the mapper, shared
   */
  public static ObjectMapper forMessagePack() {
    return MESSAGE_PACK;
  }

  /**
   * Returns the mapper of MessagePack as earlier versions wrote it, with the names of all fields of
   * each task of a job.
   *
   * @return the mapper, shared
   */
  public static ObjectMapper forLegacyMessagePack() {
    return FORMER_MESSAGE_PACK;
  }

  /** Tasks are most of what is stored, so the names of their fields are left out. */
  private static ObjectMapper compact(ObjectMapper mapper) {
    mapper
        .configOverride(JobRecord.TaskProgress.class)
        .setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
    return mapper;
  }

  private static ObjectMapper json() {
    ObjectMapper mapper =
        prepared(new ObjectMapper()).enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    Stream.concat(SEALED.stream(), SEALED_OF_PEERS.stream())
        .forEach(type -> register(mapper, type, NamedByKind.class));
    return mapper;
  }

  private static ObjectMapper messagePack() {
    ObjectMapper mapper = prepared(new ObjectMapper(new MessagePackFactory()));
    SEALED.forEach(type -> register(mapper, type, NamedByKind.class));
    for (Class<?> type : SEALED_OF_PEERS) {
      register(mapper, type, NamedInArray.class);
      for (Class<?> part : type.getPermittedSubclasses()) {
        mapper.configOverride(part).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
      }
    }
    return mapper;
  }

  private static ObjectMapper prepared(ObjectMapper mapper) {
    return mapper
        .registerModule(identifiers())
        .setVisibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE)
        .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
        .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
        .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT);
  }

  private static void register(ObjectMapper mapper, Class<?> type, Class<?> mixin) {
    mapper.addMixIn(type, mixin);
    Arrays.stream(type.getPermittedSubclasses())
        .forEach(part -> mapper.registerSubtypes(new NamedType(part, kindOf(part))));
  }

  /**
   * Returns the name of a record on the wire.
   *
   * @param type the record
   * @return its simple name in lower case with hyphens
   */
  public static String kindOf(Class<?> type) {
    return type.getSimpleName().replaceAll("([a-z])([A-Z])", "$1-$2").toLowerCase(Locale.ROOT);
  }

  private static SimpleModule identifiers() {
    SimpleModule module = new SimpleModule("identifiers");
    module.addSerializer(Id.class, new IdWriter());
    add(module, TeamId.class, TeamId::new);
    add(module, ServiceId.class, ServiceId::new);
    add(module, PoolId.class, PoolId::new);
    add(module, WaveId.class, WaveId::new);
    add(module, InstanceId.class, InstanceId::new);
    add(module, MemberId.class, MemberId::new);
    add(module, DomainId.class, DomainId::new);
    add(module, KeyId.class, KeyId::new);
    add(module, KeyDigest.class, KeyDigest::new);
    return module;
  }

  private static <T extends Id> void add(
      SimpleModule module, Class<T> type, Function<String, T> make) {
    module.addDeserializer(type, new IdReader<>(type, make));
  }

  private static final class IdWriter extends StdSerializer<Id> {

    private static final long serialVersionUID = 1L;

    IdWriter() {
      super(Id.class);
    }

    @Override
    public void serialize(Id id, JsonGenerator out, SerializerProvider provider)
        throws IOException {
      out.writeString(id.value());
    }
  }

  @SuppressWarnings("serial")
  private static final class IdReader<T extends Id> extends StdDeserializer<T> {

    private static final long serialVersionUID = 1L;
    private final Function<String, T> make;

    IdReader(Class<T> type, Function<String, T> make) {
      super(type);
      this.make = make;
    }

    @Override
    public T deserialize(JsonParser in, DeserializationContext context) throws IOException {
      String text = in.getValueAsString();
      try {
        if (text == null) {
          throw new IllegalArgumentException("a name is missing");
        }
        return make.apply(text);
      } catch (IllegalArgumentException e) {
        throw context.weirdStringException(
            String.valueOf(text), handledType(), String.valueOf(e.getMessage()));
      }
    }
  }
}
