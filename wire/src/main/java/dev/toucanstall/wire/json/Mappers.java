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
 * Jackson mappers of the typed messages. Stateless; the mappers are shared and thread-safe.
 *
 * <p>A value of a sealed type is written with the name of its record as its kind: {@code
 * MemberJoined} becomes "member-joined". Identifiers are written as strings.
 */
public final class Mappers {

  private static final List<Class<?>> LOG_AND_OPERATOR_TYPES =
      List.of(
          RecordBody.class,
          DrainReason.class,
          InstancePhase.class,
          MemberChange.class,
          OperatorRequest.class,
          OperatorAnswer.class);

  /** Sealed types that MessagePack writes as arrays, without the names of the components. */
  private static final List<Class<?>> PEER_AND_JOB_TYPES =
      List.of(
          PeerMessage.class,
          SlotKey.class,
          NodeMessage.class,
          JobCall.class,
          JobAnswer.class,
          JobRecord.class);

  private static final ObjectMapper JSON = newJsonMapper();
  private static final ObjectMapper LEGACY_MESSAGE_PACK = newMessagePackMapper();
  private static final ObjectMapper MESSAGE_PACK = writeTasksAsArrays(newMessagePackMapper());

  private Mappers() {}

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
  private interface KindAsProperty {}

  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
  private interface KindInArray {}

  /**
   * Returns the mapper of JSON.
   *
   * @return the shared mapper
   */
  public static ObjectMapper forJson() {
    return JSON;
  }

  /**
   * Returns the mapper of MessagePack, which writes messages of peers and job records as arrays.
   *
   * @return the shared mapper
   */
  public static ObjectMapper forMessagePack() {
    return MESSAGE_PACK;
  }

  /**
   * Returns the mapper of the MessagePack encoding of earlier versions, which wrote the tasks of a
   * job as maps with field names.
   *
   * @return the shared mapper
   */
  public static ObjectMapper forLegacyMessagePack() {
    return LEGACY_MESSAGE_PACK;
  }

  /** Omits the field names of tasks, because tasks make up most of the stored data. */
  private static ObjectMapper writeTasksAsArrays(ObjectMapper mapper) {
    mapper
        .configOverride(JobRecord.TaskProgress.class)
        .setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
    return mapper;
  }

  private static ObjectMapper newJsonMapper() {
    ObjectMapper mapper =
        configure(new ObjectMapper()).enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    Stream.concat(LOG_AND_OPERATOR_TYPES.stream(), PEER_AND_JOB_TYPES.stream())
        .forEach(type -> registerSubtypes(mapper, type, KindAsProperty.class));
    return mapper;
  }

  private static ObjectMapper newMessagePackMapper() {
    ObjectMapper mapper = configure(new ObjectMapper(new MessagePackFactory()));
    LOG_AND_OPERATOR_TYPES.forEach(type -> registerSubtypes(mapper, type, KindAsProperty.class));
    for (Class<?> type : PEER_AND_JOB_TYPES) {
      registerSubtypes(mapper, type, KindInArray.class);
      for (Class<?> subtype : type.getPermittedSubclasses()) {
        mapper.configOverride(subtype).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
      }
    }
    return mapper;
  }

  private static ObjectMapper configure(ObjectMapper mapper) {
    return mapper
        .registerModule(identifierModule())
        .setVisibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE)
        .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
        .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
        .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT);
  }

  private static void registerSubtypes(ObjectMapper mapper, Class<?> type, Class<?> mixin) {
    mapper.addMixIn(type, mixin);
    Arrays.stream(type.getPermittedSubclasses())
        .forEach(subtype -> mapper.registerSubtypes(new NamedType(subtype, kindName(subtype))));
  }

  /**
   * Returns the kind by which a record type is written.
   *
   * @param type the record type
   * @return the simple name of the type in lower case with hyphens
   */
  public static String kindName(Class<?> type) {
    return type.getSimpleName().replaceAll("([a-z])([A-Z])", "$1-$2").toLowerCase(Locale.ROOT);
  }

  private static SimpleModule identifierModule() {
    SimpleModule module = new SimpleModule("identifiers");
    module.addSerializer(Id.class, new IdSerializer());
    addDeserializer(module, TeamId.class, TeamId::new);
    addDeserializer(module, ServiceId.class, ServiceId::new);
    addDeserializer(module, PoolId.class, PoolId::new);
    addDeserializer(module, WaveId.class, WaveId::new);
    addDeserializer(module, InstanceId.class, InstanceId::new);
    addDeserializer(module, MemberId.class, MemberId::new);
    addDeserializer(module, DomainId.class, DomainId::new);
    addDeserializer(module, KeyId.class, KeyId::new);
    addDeserializer(module, KeyDigest.class, KeyDigest::new);
    return module;
  }

  private static <T extends Id> void addDeserializer(
      SimpleModule module, Class<T> type, Function<String, T> constructor) {
    module.addDeserializer(type, new IdDeserializer<>(type, constructor));
  }

  private static final class IdSerializer extends StdSerializer<Id> {

    private static final long serialVersionUID = 1L;

    IdSerializer() {
      super(Id.class);
    }

    @Override
    public void serialize(Id id, JsonGenerator generator, SerializerProvider provider)
        throws IOException {
      generator.writeString(id.value());
    }
  }

  @SuppressWarnings("serial")
  private static final class IdDeserializer<T extends Id> extends StdDeserializer<T> {

    private static final long serialVersionUID = 1L;
    private final Function<String, T> constructor;

    IdDeserializer(Class<T> type, Function<String, T> constructor) {
      super(type);
      this.constructor = constructor;
    }

    @Override
    public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
      String text = parser.getValueAsString();
      try {
        if (text == null) {
          throw new IllegalArgumentException("a name is missing");
        }
        return constructor.apply(text);
      } catch (IllegalArgumentException e) {
        throw context.weirdStringException(
            String.valueOf(text), handledType(), String.valueOf(e.getMessage()));
      }
    }
  }
}
